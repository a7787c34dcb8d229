// Token bucket over this host's part of a stated limit.
#include <algorithm>
#include <cmath>
#include <serving/stated_rate.hpp>

namespace kumquatramp::serving
{

namespace
{

/// A limit counts for this long after the last answer that stated it.
constexpr duration statement_lifetime = 10s;
/// Sum of the bursts of all hosts, in seconds of the limit. It also bounds how
/// many hosts take part, since each has a burst of at least one request.
constexpr double burst_s = 1.2;
/// Keeps the conversion of a wait within the range of duration.
constexpr double max_wait_s = 3600;

} // namespace

void stated_rate::update(std::optional<double> per_second, time_point now)
{
    limit_ = per_second;
    stated_at_ = now;
}

bool stated_rate::active(time_point now) const
{
    return limit_ && now - stated_at_ < statement_lifetime;
}

stated_rate::part stated_rate::own_part(fleet_place place) const
{
    double const limit = limit_.value_or(0);
    double const most = std::max(1, place.hosts);
    double const sharing = std::clamp(std::floor(limit * burst_s), 1.0, most);
    if (place.rank >= sharing)
    {
        return {};
    }
    return {.per_second = limit / sharing,
            .burst = std::max(1.0, limit * burst_s / sharing)};
}

double stated_rate::tokens(part own, time_point now) const
{
    double const gained =
        own.per_second *
        std::chrono::duration<double>(now - tokens_at_).count();
    return std::min(own.burst, tokens_ + gained);
}

duration stated_rate::wait(fleet_place place, time_point now) const
{
    if (!active(now))
    {
        return duration::zero();
    }
    part const own = own_part(place);
    double const missing = 1.0 - tokens(own, now);
    if (own.per_second <= 0)
    {
        return duration::max();
    }
    if (missing <= 0)
    {
        return duration::zero();
    }
    // The limit is forgotten after its lifetime, so no wait is longer.
    return std::min<duration>(
        statement_lifetime,
        std::chrono::duration_cast<duration>(std::chrono::duration<double>(
            std::min(missing / own.per_second, max_wait_s))));
}

void stated_rate::spend(fleet_place place, time_point now)
{
    if (!active(now))
    {
        return;
    }
    tokens_ = std::max(0.0, tokens(own_part(place), now) - 1.0);
    tokens_at_ = now;
}

} // namespace kumquatramp::serving
