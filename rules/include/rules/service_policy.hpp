// What the operators' rules say about one service.
#ifndef KUMQUATRAMP_RULES_SERVICE_POLICY_HPP
#define KUMQUATRAMP_RULES_SERVICE_POLICY_HPP

#include <base/time.hpp>
#include <cstdint>

namespace kumquatramp
{

/// Policy of one service; the defaults hold where no rule speaks.
struct service_policy
{
    /// Longest time a request may take, also if its caller allows more.
    duration deadline = 1s;

    /// An answer with a smaller share of its shards is refused.
    /// Invariant: 0 <= min_coverage <= 1.
    double min_coverage = 0.0;

    /// After straggler_wait an answer with at least enough_coverage is given
    /// without waiting for the remaining shards.
    /// Invariant: min_coverage <= enough_coverage <= 1.
    double enough_coverage = 1.0;
    duration straggler_wait = duration::max();

    /// Whether idempotent sub-requests are hedged, after which percentile of
    /// the shard's latency, and under which share of extra sends.
    bool hedge = true;
    double hedge_percentile = 0.97;
    double hedge_budget = 0.05;

    /// 0 is served first, lowest_priority is shed first.
    std::uint8_t priority = 4;

    /// Bounds on this host; requests over them are refused.
    std::uint32_t max_in_flight = 1000;
    std::uint32_t max_queued = 1000;

    /// Service-level objective: this share of requests whole and on time.
    double objective = 0.99;
    duration objective_latency = 1s;
};

inline constexpr std::uint8_t lowest_priority = 9;

} // namespace kumquatramp

#endif
