// Adaptive concurrency limit of one host for one warm target.
#ifndef KUMQUATRAMP_LIMITS_ADAPTIVE_LIMIT_HPP
#define KUMQUATRAMP_LIMITS_ADAPTIVE_LIMIT_HPP

#include <base/time.hpp>
#include <cstdint>
#include <limits/load_report.hpp>

namespace kumquatramp
{

/// AIMD limit: increases additively with answers and decreases multiplicatively
/// on refusals and slow answers, at most once per round trip. A value below 1
/// is the fraction of time during which one attempt may be in flight. Not
/// thread-safe.
///
/// A load report can only lower the value, and by at most half, so that a
/// misleading report neither starves nor overloads a target.
class adaptive_limit
{
public:
    /// Sets the limit to an equal share of the slots among the hosts.
    void start(std::uint32_t slots, std::uint32_t hosts);

    /// Applies new bounds; keeps the current limit, clamped to them.
    void set_bounds(std::uint32_t slots, std::uint32_t hosts);

    /// Records a complete answer to an attempt sent at `sent`. `in_flight`
    /// counts this attempt and the others outstanding when it was answered;
    /// `slow` means that answers are currently slower than the baseline.
    void on_answer(bool slow, std::uint32_t in_flight, time_point sent,
                   time_point now);

    /// The target shed an attempt sent at `sent`, or did not answer it in time.
    void on_overload(time_point sent, time_point now);

    /// Applies the load that the target reported.
    void on_report(load_report const& report);

    double value() const { return learned_limit_ * report_factor_; }

    /// Whether the learned limit, without load reports, is at its minimum.
    bool at_minimum() const;

private:
    void decrease(double factor, time_point sent, time_point now);

    std::uint32_t slots_ = 1;
    double min_limit_ = 1;
    // From this host's own attempts; min_limit_ <= learned_limit_ <= slots_.
    double learned_limit_ = 1;
    // From load reports; min_report_factor <= report_factor_ <= 1.
    double report_factor_ = 1;
    // Attempts sent before it cause no further decrease.
    time_point last_decrease_{};
};

} // namespace kumquatramp

#endif
