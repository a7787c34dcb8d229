// State of one target as seen by this host.
#ifndef KUMQUATRAMP_SERVING_TARGET_HPP
#define KUMQUATRAMP_SERVING_TARGET_HPP

#include <base/time.hpp>
#include <serving/stated_rate.hpp>
#include <serving/target_record.hpp>

namespace kumquatramp::serving
{

/// Status of a target in the registry.
enum class listing
{
    ready,
    draining,
    unlisted, ///< entry removed; may return after an outage
    gone,     ///< dropped; receives no more requests
};

/// Statistics come from this host's own requests unless noted otherwise.
struct target
{
    target_record record;
    listing listed = listing::ready;
    time_point unlisted_since = never;
    /// Known only from a registry that was restored from a copy: it may have
    /// left before this host learned of it.
    bool unconfirmed = false;
    time_point cold_until{};

    /// No connection could be established at the last try. The next one may
    /// lead to a restarted process, which is cold.
    bool unreachable = false;

    /// Another instance answered at its address, whatever the registry lists.
    /// Reset after a hold time or by a new registry entry.
    bool misdirected = false;
    time_point misdirected_since{};

    /// The target announced its shutdown in an answer. Never reset: a restarted
    /// target is another object.
    bool shutting_down = false;

    /// The target refused a request and asked to be left alone until then.
    bool resting = false;
    time_point rest_until{};

    int in_flight = 0; ///< attempts that have not ended; >= 0
    int overdue = 0;   ///< attempts in flight past the hedge delay

    /// Latency as a multiple of the route's usual latency; 1 if unknown.
    double slowness = 1.0;
    time_point slowness_at{};

    /// Share of recent attempts that failed; decays over time.
    double failure_share = 0.0;
    time_point failure_at{};
    int failures_in_row = 0;
    time_point avoid_until{};

    /// Share of sends to admit to the target, in (0, 1]; below 1 while it
    /// reports a longer queue than it can serve in time.
    double admitted_share = 1.0;

    /// Limit on the requests of all hosts that the target states.
    stated_rate rate;

    /// Last load report of the target: requests running and waiting there.
    int reported_busy = 0;
    time_point reported_at{};

    /// Whether to send to it only if no other target of the service can serve.
    bool last_resort() const
    {
        return unconfirmed || listed == listing::unlisted;
    }

    bool usable() const { return !resting && usable_after_rest(); }

    bool usable_after_rest() const
    {
        return !misdirected && !shutting_down &&
               (listed == listing::ready || listed == listing::unlisted);
    }
};

} // namespace kumquatramp::serving

#endif
