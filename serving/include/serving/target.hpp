// What this host believes about one target.
#ifndef KUMQUATRAMP_SERVING_TARGET_HPP
#define KUMQUATRAMP_SERVING_TARGET_HPP

#include <base/time.hpp>
#include <serving/target_record.hpp>

namespace kumquatramp::serving
{

/// How the registry lists a target.
enum class listing
{
    ready,
    draining,
    unlisted, ///< its entry has gone; it may be back after an outage
    gone,     ///< takes no request any more
};

/// Figures come from this host's own requests unless they say otherwise.
struct target
{
    target_record record;
    listing listed = listing::ready;
    time_point unlisted_since = never;
    time_point cold_until{};

    /// Another instance answered at its address: it is not there, whatever
    /// the registry says. Ends by itself, or with a new entry.
    bool misdirected = false;
    time_point misdirected_since{};

    int in_flight = 0; ///< >= 0
    int overdue = 0;   ///< attempts in flight past their hedge delay

    /// Latency in multiples of the route's usual one; 1 when unknown.
    double slowness = 1.0;
    time_point slowness_at{};

    /// Share of attempts that failed lately, decayed.
    double failure_share = 0.0;
    time_point failure_at{};
    int failures_in_row = 0;
    time_point avoid_until{};

    /// Share of the sends that the target's queue leaves room for, (0, 1];
    /// below 1 while it reports more waiting than it can serve in time.
    double admitted_share = 1.0;

    /// The target's own report, in requests.
    int reported_busy = 0;
    time_point reported_at{};

    bool usable() const
    {
        return !misdirected &&
               (listed == listing::ready || listed == listing::unlisted);
    }
};

} // namespace kumquatramp::serving

#endif
