// Rotation and summation of the slices.
#include <algorithm>
#include <details/slice_ring.hpp>

namespace kumquatramp
{

namespace
{

namespace accumulators = boost::accumulators;

constexpr auto slice_count = static_cast<std::int64_t>(
    std::chrono::hours(24) / slice_ring::slice_length);

} // namespace

slice_ring::slice_ring()
    : slices_(static_cast<std::size_t>(slice_count))
{
}

std::int64_t slice_ring::slice_number(time_point now) noexcept
{
    return std::max<std::int64_t>(now.time_since_epoch() / slice_length, 0);
}

void slice_ring::record(bool good, time_point now)
{
    latest_ = std::max(latest_, slice_number(now));
    auto& current = slices_[static_cast<std::size_t>(latest_ % slice_count)];
    if (current.number != latest_)
    {
        current = slice{latest_, {}};
    }
    current.events(good ? 0U : 1U);
}

burn_counts slice_ring::sum(duration begin_age, duration end_age,
                            time_point now) const
{
    auto const last = std::max(latest_, slice_number(now));
    auto const first_number = last - begin_age / slice_length + 1;
    auto const last_number = last - end_age / slice_length;
    burn_counts counts;
    for (auto number = std::max<std::int64_t>(first_number, 0);
         number <= last_number; ++number)
    {
        auto const& item =
            slices_[static_cast<std::size_t>(number % slice_count)];
        if (item.number != number)
        {
            continue;
        }
        auto const total = accumulators::count(item.events);
        auto const bad = accumulators::sum(item.events);
        counts += {total - bad, bad};
    }
    return counts;
}

} // namespace kumquatramp
