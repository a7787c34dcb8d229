// Per-service settings from the operators' rules.
#ifndef KUMQUATRAMP_RULES_SERVICE_POLICY_HPP
#define KUMQUATRAMP_RULES_SERVICE_POLICY_HPP

#include <base/time.hpp>
#include <cstdint>

namespace kumquatramp
{

/// Policy of one service. A default applies where no rule sets a value.
struct service_policy
{
    /// Upper bound on the duration of a request; caps the deadline of the
    /// caller.
    duration deadline = 1s;

    /// Minimum coverage, the share of the shards that have answered; an answer
    /// with less coverage is refused.
    /// Invariant: 0 <= min_coverage <= 1.
    double min_coverage = 0.0;

    /// Once straggler_wait has passed, an answer with at least enough_coverage
    /// is returned without waiting for the remaining shards.
    /// Invariant: min_coverage <= enough_coverage <= 1.
    double enough_coverage = 1.0;
    duration straggler_wait = duration::max();

    /// Whether idempotent sub-requests are hedged; the percentile of the
    /// shard's latency after which a hedge is sent; and the maximum share of
    /// extra sends.
    bool hedge = true;
    double hedge_percentile = 0.97;
    double hedge_budget = 0.05;

    /// Requests of priority 0 are served first; those of lowest_priority are
    /// shed first.
    std::uint8_t priority = 4;

    /// Limits per host on requests in flight and queued; requests in excess
    /// are refused.
    std::uint32_t max_in_flight = 1000;
    std::uint32_t max_queued = 1000;

    /// Service-level objective: the share of requests that must be answered
    /// completely within objective_latency.
    double objective = 0.99;
    duration objective_latency = 1s;
};

inline constexpr std::uint8_t lowest_priority = 9;

} // namespace kumquatramp

#endif
