// Choice among the replicas of a service by least expected latency.
#include "details/decay.hpp"
#include <algorithm>
#include <base/milliseconds.hpp>
#include <serving/target_table.hpp>

namespace kumquatramp::serving
{

namespace
{

/// Age at which the weight of a load report has fallen, linearly, to 0.
constexpr double load_report_max_age_ms = 250.0;

/// Targets with a lower admitted share receive no hedges.
constexpr double min_hedge_admitted_share = 0.85;
/// Penalty of a full target in addition to its expected wait, in multiples of
/// the usual latency and scaled by the share of sends that it does not admit,
/// so that other targets are preferred while they have room.
constexpr double full_penalty = 4.0;

/// Penalty of a target in another availability zone: a share of the usual
/// latency plus a constant. It covers two network delays and the cost of
/// cross-zone traffic.
constexpr double cross_zone_penalty_share = 0.7;
constexpr double cross_zone_penalty_ms = 3.0;

/// Penalties that rank targets which should be chosen only as a last resort.
constexpr double overdue_penalty_ms = 400.0;
constexpr double last_resort_penalty_ms = 1500.0;
constexpr double avoided_penalty_ms = 3000.0;

} // namespace

double target_table::expected_ms(target const& t, double usual_ms,
                                 time_point now)
{
    double const slowness =
        decayed(t.slowness, 1.0, t.slowness_at, now, slowness_half_life_ms);
    double busy = t.in_flight;
    double const report_age = to_ms(now - t.reported_at);
    if (report_age < load_report_max_age_ms)
    {
        busy = std::max(busy, t.reported_busy *
                                  (1.0 - report_age / load_report_max_age_ms));
    }
    int const slots = std::max(t.record.slots, 1);
    double const waiting = std::max(0.0, busy + 1 - slots) / slots;
    double const spread = 0.3 * t.in_flight / slots;
    double ms = usual_ms * slowness * (1.0 + waiting + spread);
    ms += usual_ms * full_penalty * (1.0 - t.admitted_share);
    if (now < t.cold_until)
    {
        ms *= 1.6;
    }
    double const failing =
        decayed(t.failure_share, 0.0, t.failure_at, now, failure_half_life_ms);
    ms += failing * (usual_ms * 4.0 + 20.0);
    if (!is_near(t))
    {
        ms += usual_ms * cross_zone_penalty_share + cross_zone_penalty_ms;
    }
    if (t.overdue > 0)
    {
        ms += overdue_penalty_ms;
    }
    if (t.last_resort())
    {
        ms += last_resort_penalty_ms;
    }
    if (now < t.avoid_until)
    {
        ms += avoided_penalty_ms;
    }
    // Random jitter, so that hosts spread over equal replicas.
    return ms * (1.0 + 0.1 * random_.unit());
}

std::shared_ptr<target> target_table::pick(std::string_view service,
                                           duration usual,
                                           std::span<target const* const> tried,
                                           bool for_hedge, time_point now)
{
    auto const found = by_service_.find(service);
    if (found == by_service_.end())
    {
        return nullptr;
    }
    std::shared_ptr<target> best;
    double best_ms = 0;
    for (auto const& t : found->second)
    {
        if (!may_send(*t) ||
            std::find(tried.begin(), tried.end(), t.get()) != tried.end())
        {
            continue;
        }
        if (for_hedge &&
            (t->overdue > 0 || now < t->avoid_until || t->last_resort() ||
             t->admitted_share < min_hedge_admitted_share))
        {
            continue;
        }
        double const ms = expected_ms(*t, to_ms(usual), now);
        if (!best || ms < best_ms)
        {
            best = t;
            best_ms = ms;
        }
    }
    return best;
}

std::shared_ptr<target>
target_table::choose(std::string_view service, duration usual,
                     std::span<target const* const> tried, time_point now)
{
    return pick(service, usual, tried, false, now);
}

std::shared_ptr<target>
target_table::choose_for_hedge(std::string_view service, duration usual,
                               std::span<target const* const> tried,
                               time_point now)
{
    return pick(service, usual, tried, true, now);
}

} // namespace kumquatramp::serving
