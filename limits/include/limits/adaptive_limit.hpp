// The concurrency limit of one host towards one warm target.
#ifndef KUMQUATRAMP_LIMITS_ADAPTIVE_LIMIT_HPP
#define KUMQUATRAMP_LIMITS_ADAPTIVE_LIMIT_HPP

#include <base/time.hpp>
#include <cstdint>
#include <limits/load_report.hpp>

namespace kumquatramp
{

/// Rises with answers (additive increase), falls with refusals and with
/// slow answers (multiplicative decrease, once for each round of sends).
/// May lie below 1: it is then the share of time in which a send may be in
/// flight. Not safe from several threads.
///
/// A load report can only lower the value, and by no more than half, so that
/// a misleading one neither stops nor overloads a target.
class adaptive_limit
{
public:
    /// Starts from an equal share of the slots among the hosts.
    void start(std::uint32_t slots, std::uint32_t hosts);

    /// Takes changed numbers, and keeps the limit as far as they allow.
    void set_bounds(std::uint32_t slots, std::uint32_t hosts);

    /// A whole answer came to a send of `sent` while `in_flight` sends were
    /// on their way; `slow` if answers are slow at present.
    void on_answer(bool slow, std::uint32_t in_flight, time_point sent,
                   time_point now);

    /// The target shed a send of `sent`, or did not answer it in time.
    void on_overload(time_point sent, time_point now);

    /// The target told its load.
    void on_report(load_report const& report);

    double value() const { return learned_limit_ * report_factor_; }

    /// Whether own experience has brought the limit down to the lowest.
    bool at_minimum() const;

private:
    void decrease(double factor, time_point sent, time_point now);

    std::uint32_t slots_ = 1;
    double min_limit_ = 1;
    double learned_limit_ = 1; // from own experience; lowest_ <= own_ <= slots_
    double report_factor_ = 1; // from load reports; lowest_hint <= hint_ <= 1
    time_point last_decrease_{}; // sends from before it cause no further cut
};

} // namespace kumquatramp

#endif
