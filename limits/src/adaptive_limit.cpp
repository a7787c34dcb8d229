// AIMD control of the concurrency limit.
#include <algorithm>
#include <limits/adaptive_limit.hpp>

namespace kumquatramp
{
namespace
{

/// Attempts that all hosts together may have in flight at their minimum limits.
/// Less than any target can sustain, yet above zero, so that no host is locked
/// out for good.
constexpr double min_total_limit = 0.5;

/// Increase of the limit per round of answered attempts.
constexpr double increase_per_round = 0.05;

/// Factors applied to the limit after a refusal or timeout, and after slow
/// answers.
constexpr double refusal_factor = 0.5;
constexpr double slow_factor = 0.9;

/// Smallest factor that a load report can apply.
constexpr double min_report_factor = 0.5;

} // namespace

void adaptive_limit::start(std::uint32_t slots, std::uint32_t hosts)
{
    set_bounds(slots, hosts);
    learned_limit_ = double(slots_) / std::max(hosts, 1U);
    report_factor_ = 1;
}

void adaptive_limit::set_bounds(std::uint32_t slots, std::uint32_t hosts)
{
    slots_ = std::max(slots, 1U);
    min_limit_ = min_total_limit / std::max(hosts, 1U);
    learned_limit_ = std::clamp<double>(learned_limit_, min_limit_, slots_);
}

void adaptive_limit::on_answer(bool slow, std::uint32_t in_flight,
                               time_point sent, time_point now)
{
    if (slow)
    {
        decrease(slow_factor, sent, now);
        return;
    }
    bool const in_use = 2 * in_flight >= learned_limit_;
    if (in_use)
    {
        learned_limit_ = std::min<double>(
            learned_limit_ + increase_per_round / std::max(learned_limit_, 1.0),
            slots_);
    }
}

void adaptive_limit::on_overload(time_point sent, time_point now)
{
    decrease(refusal_factor, sent, now);
}

void adaptive_limit::on_report(load_report const& report)
{
    double const reported_load = double(report.busy) + report.queued;
    report_factor_ = std::clamp(slots_ / std::max(reported_load, 1.0),
                                min_report_factor, 1.0);
}

bool adaptive_limit::at_minimum() const
{
    return learned_limit_ <= min_limit_;
}

void adaptive_limit::decrease(double factor, time_point sent, time_point now)
{
    if (sent < last_decrease_)
    {
        return;
    }
    learned_limit_ = std::max(learned_limit_ * factor, min_limit_);
    last_decrease_ = now;
}

} // namespace kumquatramp
