// This host's share of a rate limit that a target states in its answers.
#ifndef KUMQUATRAMP_SERVING_STATED_RATE_HPP
#define KUMQUATRAMP_SERVING_STATED_RATE_HPP

#include <base/time.hpp>
#include <optional>
#include <serving/fleet_place.hpp>

namespace kumquatramp::serving
{

/// A token bucket. The target's limit holds for the sum over all hosts, which
/// divide it without communication: each takes an equal part, and if the limit
/// is small, only the hosts of lowest rank take part. In any window the bursts
/// of all hosts together add little more than one second of the limit.
///
/// A limit stays in force until an answer without one. A host that has had no
/// answer for some time sends single probes to learn of its end, in time slots
/// that the hosts take in turn: the probes of the fleet are a part of the sum.
class stated_rate
{
public:
    /// The target's latest answer states this limit in requests/s over all
    /// hosts, or none.
    void update(std::optional<double> per_second, time_point now);

    /// Whether a limit is in force.
    bool active() const { return limit_.has_value(); }

    /// Time until this host may send; zero if it may now, `duration::max()` if
    /// it has no part and it is not its turn to probe.
    duration wait(fleet_place place, time_point now) const;

    /// Records a send.
    void spend(fleet_place place, time_point now);

private:
    struct part
    {
        double per_second = 0; ///< 0: this host has no part
        double burst = 1;
    };
    part own_part(fleet_place place) const;
    double tokens(part own, time_point now) const;
    bool may_probe(fleet_place place, time_point now) const;
    duration slot_length() const;

    std::optional<double> limit_;
    time_point learned_at_{}; ///< of the limit's first statement
    time_point stated_at_{};  ///< of its latest one; >= learned_at_
    time_point spent_at_{};   ///< of the latest send
    double tokens_ = 0;       ///< at tokens_at_; at most the burst
    time_point tokens_at_{};
};

} // namespace kumquatramp::serving

#endif
