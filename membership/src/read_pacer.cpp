// Exponential back-off with jitter for reads by hosts that are not readers.
#include <algorithm>
#include <config/config_key.hpp>
#include <membership/read_pacer.hpp>

namespace kumquatramp
{

namespace
{

// The interval doubles with each unsuccessful read, at most this many times.
constexpr unsigned max_doublings = 4;

// An interval is multiplied by a random factor in [1, 1 + jitter).
constexpr double jitter = 1.0;

} // namespace

read_pacer::read_pacer(membership_options const& options, random_source& random)
    : old_view_age_(options.view_lifetime * 3 / 4)
    , round_(options.round)
    , random_(random)
{
}

duration read_pacer::interval(std::size_t members)
{
    auto const keys = static_cast<double>(all_config_keys.size());
    std::chrono::duration<double> const fair_share(
        keys * static_cast<double>(members) / fleet_reads_per_second);
    auto const min_interval =
        std::max(std::chrono::duration_cast<duration>(fair_share), round_);
    auto const doublings = std::min(unsuccessful_reads_, max_doublings);
    auto const wait =
        static_cast<double>((min_interval * (1 << doublings)).count());
    return duration(
        static_cast<duration::rep>(wait * (1.0 + jitter * random_.unit())));
}

bool read_pacer::due(duration view_age, std::size_t members, time_point now)
{
    std::lock_guard const guard(mutex_);
    if (view_age <= old_view_age_)
    {
        unsuccessful_reads_ = 0;
        return false;
    }
    if (now < next_read_)
    {
        return false;
    }
    next_read_ = now + interval(members);
    ++unsuccessful_reads_;
    return true;
}

} // namespace kumquatramp
