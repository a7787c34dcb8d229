// Decides how much this host may send to one target.
#ifndef KUMQUATRAMP_LIMITS_TARGET_GATE_HPP
#define KUMQUATRAMP_LIMITS_TARGET_GATE_HPP

#include <base/time.hpp>
#include <cstdint>
#include <limits/adaptive_limit.hpp>
#include <limits/attempt_outcome.hpp>
#include <limits/cold_start.hpp>
#include <limits/connection_budget.hpp>
#include <limits/consecutive_failures.hpp>
#include <limits/failure_rate_estimator.hpp>
#include <limits/gate_status.hpp>
#include <limits/latency_trend.hpp>
#include <limits/load_report.hpp>
#include <limits/target_bounds.hpp>
#include <limits/warmth.hpp>
#include <mutex>
#include <optional>

namespace kumquatramp
{

/// One per target and host. Holds the adaptive concurrency limit, the
/// cold-start ramp and the connection share. Safe from any thread.
///
///     if (gate.try_acquire(now))
///     {
///         ... send ...
///         gate.release(attempt_outcome::answered, latency, {}, now);
///     }
///
/// Invariant: a cold gate admits nothing unless its bounds name this host
/// the steward, and then at most the ramp's present step.
///
/// A limit below 1 admits one send at a time, with a gap between sends that
/// makes up for the rest.
class target_gate
{
public:
    target_gate() = default;

    /// Takes new bounds; sends in flight go on.
    void configure(target_bounds const& bounds, time_point now);

    /// Takes one place for a send; false if there is none.
    bool try_acquire(time_point now);

    /// Whether a send that holds a place may still leave: the gate is not
    /// closed, and if cold this host is still steward and all that is in
    /// flight fits into the ramp. To be asked directly before the first byte.
    bool may_send(time_point now) const;

    /// Gives the place back. `latency` is the time since the send; it is
    /// used only for outcomes that say something about the target.
    void release(attempt_outcome outcome, duration latency,
                 std::optional<load_report> report, time_point now);

    /// A connection broke while idle, or could not be re-established: the
    /// target may have restarted, so it is cold until shown otherwise. Not
    /// to be told of connections that this host closed itself, or that it
    /// opened before the gate last turned cold.
    void on_connection_lost(time_point now);

    /// Takes a peer's word; the higher warmth wins.
    void observe(warmth seen, time_point now);

    /// What this host believes, to tell its peers.
    warmth seen() const;

    /// Whether a send could be admitted now.
    bool open(time_point now) const;

    /// Sends in flight over sends allowed; at least 1 if there is no place.
    double load(time_point now) const;

    /// Smoothed latency of answers; 0 if there was none.
    duration latency() const;

    /// Smoothed share of sends that failed, in [0, 1]; fades with time.
    double failure_rate(time_point now) const;

    /// Connections that this host may hold to the target; over all hosts
    /// they stay under the target's limit. 0 means that this host is to
    /// hold none. A rise takes effect only after a hold-off.
    std::uint32_t connection_share() const;

    gate_status status() const;

private:
    // Each needs the mutex held.
    void update_failure_rate(attempt_outcome outcome, time_point now);
    double concurrency_limit() const;
    bool permit_available(time_point now) const;
    void reset_limit_if_warmed(warmth before);
    void on_answered(duration latency, time_point now);
    void on_refused(time_point sent, time_point now);
    void on_timed_out(duration waited, time_point now);

    mutable std::mutex mutex_;
    // All below are guarded by mutex_.
    target_bounds bounds_;
    cold_start cold_start_;
    adaptive_limit limit_; // of use while warm
    latency_trend latency_;
    failure_rate_estimator failure_rate_;
    consecutive_failures failures_; // while warm and at the lowest limit
    connection_budget connections_;
    std::uint32_t in_flight_ = 0;
    time_point last_acquired_{};
    std::uint64_t sent_ = 0;
    std::uint64_t refused_ = 0;
    std::uint64_t failed_ = 0;
};

} // namespace kumquatramp

#endif
