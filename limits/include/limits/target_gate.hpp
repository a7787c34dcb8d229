// Limits the load that this host puts on one target.
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

/// One instance per host and target. Combines the adaptive concurrency limit,
/// the cold-start ramp and the connection share. Thread-safe.
///
///     if (gate.try_acquire(now))
///     {
///         ... send ...
///         gate.release(attempt_outcome::answered, latency, {}, now);
///     }
///
/// Invariant: the gate of a cold target admits nothing unless its bounds make
/// this host the steward, and then at most the current ramp limit.
///
/// A limit below 1 admits one attempt at a time. Attempts are then spaced so
/// that the average number in flight equals the limit, up to a maximum
/// interval.
class target_gate
{
public:
    target_gate() = default;

    /// Applies new bounds; attempts in flight continue.
    void configure(target_bounds const& bounds, time_point now);

    /// Acquires a permit for one attempt; returns false if none is available.
    bool try_acquire(time_point now);

    /// Whether an attempt that holds a permit may still be sent: the gate is
    /// not closed and, if the target is cold, this host is still the steward,
    /// is not backing off and all attempts in flight fit into the ramp limit.
    /// To be checked directly before the first byte is sent.
    bool may_send(time_point now) const;

    /// Releases the permit. `latency` is the time since the attempt was sent;
    /// it is used only for outcomes that carry information about the target.
    void release(attempt_outcome outcome, duration latency,
                 std::optional<load_report> report, time_point now);

    /// A connection broke while idle, or could not be re-established. The
    /// target may have restarted, so it is cold until proven otherwise. Not to
    /// be called for connections that this host closed itself, or that it
    /// opened before the target last became cold.
    void on_connection_lost(time_point now);

    /// Merges the warmth that a peer reported; the higher value wins.
    void observe(warmth seen, time_point now);

    /// The warmth that this host reports to its peers.
    warmth seen() const;

    /// Whether try_acquire() would succeed now.
    bool open(time_point now) const;

    /// Attempts in flight divided by the concurrency limit; at least 1 if no
    /// permit is available.
    double load(time_point now) const;

    /// Smoothed latency of answers; 0 if there was none.
    duration latency() const;

    /// Smoothed fraction of attempts that failed, in [0, 1]; decays over time.
    double failure_rate(time_point now) const;

    /// Connections that this host may hold to the target. The shares of all
    /// hosts together stay within the target's limit. 0 means that this host
    /// must hold none. An increase takes effect only after a hold-off.
    std::uint32_t connection_share() const;

    gate_status status() const;

private:
    // All of these require that mutex_ is held.
    void update_failure_rate(attempt_outcome outcome, time_point now);
    double concurrency_limit() const;
    bool permit_available(time_point now) const;
    void reset_limit_if_warmed(warmth before);
    void on_answered(duration latency, time_point now);
    void on_refused(time_point sent, time_point now);
    void on_timed_out(duration waited, time_point now);

    mutable std::mutex mutex_;
    // All members below are guarded by mutex_.
    target_bounds bounds_;
    cold_start cold_start_;
    adaptive_limit limit_; // applies while the target is warm
    latency_trend latency_;
    failure_rate_estimator failure_rate_;
    consecutive_failures failures_; // while warm and at the minimum limit
    connection_budget connections_;
    std::uint32_t in_flight_ = 0;
    time_point last_acquired_{};
    std::uint64_t sent_ = 0;
    std::uint64_t refused_ = 0;
    std::uint64_t failed_ = 0;
};

} // namespace kumquatramp

#endif
