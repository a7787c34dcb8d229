// Token bucket over this host's part of a stated limit.
#include <algorithm>
#include <cmath>
#include <serving/stated_rate.hpp>

namespace kumquatramp::serving
{

namespace
{

/// A host probes only after this long without an answer that states the limit.
constexpr duration statement_lifetime = 10s;
/// Sum of the bursts of all hosts, in seconds of the limit. It also bounds how
/// many hosts take part, since each has a burst of at least one request.
constexpr double burst_s = 1.2;
/// Further hosts that take part, so that a small limit remains in use while one
/// of them is down.
constexpr double spare_parts = 2.0;
/// Share of the limit that is divided into parts; the rest is for probes.
constexpr double divided_share = 0.9;
/// Length of a host's time slot for a probe at limits up to slow_limit; it
/// shrinks with larger ones.
constexpr duration longest_slot = 4s;
constexpr double slow_limit = 2.0;
/// Keeps the conversion of a wait within the range of duration.
constexpr double max_wait_s = 3600;

} // namespace

void stated_rate::update(std::optional<double> per_second, time_point now)
{
    if (per_second && !limit_)
    {
        learned_at_ = now;
    }
    limit_ = per_second;
    stated_at_ = now;
}

stated_rate::part stated_rate::own_part(fleet_place place) const
{
    double const limit = limit_.value_or(0);
    double const most = std::max(1, place.hosts);
    double const sharing =
        std::min(std::floor(limit * burst_s) + spare_parts, most);
    if (place.rank >= sharing)
    {
        return {};
    }
    return {.per_second = divided_share * limit / sharing,
            .burst = std::max(1.0, limit * burst_s / sharing)};
}

double stated_rate::tokens(part own, time_point now) const
{
    double const gained =
        own.per_second *
        std::chrono::duration<double>(now - tokens_at_).count();
    return std::min(own.burst, tokens_ + gained);
}

duration stated_rate::slot_length() const
{
    double const shrink = std::max(1.0, limit_.value_or(0) / slow_limit);
    return std::max<duration>(
        std::chrono::duration_cast<duration>(longest_slot / shrink), 1ms);
}

bool stated_rate::may_probe(fleet_place place, time_point now) const
{
    if (now - stated_at_ < statement_lifetime)
    {
        return false;
    }
    duration const slot = slot_length();
    int const hosts = std::max(1, place.hosts);
    duration const into_turn = (now - learned_at_) % (slot * hosts);
    return into_turn / slot == std::min(place.rank, hosts - 1) &&
           now - spent_at_ > into_turn % slot;
}

duration stated_rate::wait(fleet_place place, time_point now) const
{
    if (!active() || may_probe(place, now))
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
    // A longer wait says little: the limit may have changed by then.
    return std::min<duration>(
        statement_lifetime,
        std::chrono::duration_cast<duration>(std::chrono::duration<double>(
            std::min(missing / own.per_second, max_wait_s))));
}

void stated_rate::spend(fleet_place place, time_point now)
{
    spent_at_ = now;
    if (!active())
    {
        return;
    }
    tokens_ = std::max(0.0, tokens(own_part(place), now) - 1.0);
    tokens_at_ = now;
}

} // namespace kumquatramp::serving
