// This host's share of the request rate allowed to a cold target.
#ifndef KUMQUATRAMP_SERVING_WARMUP_SHARE_HPP
#define KUMQUATRAMP_SERVING_WARMUP_SHARE_HPP

#include <base/time.hpp>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>

namespace kumquatramp::serving
{

/// Divides the rate of a cold target among the hosts without communication:
/// each host gets an equal whole number of sends per second, and the remainder
/// goes to the hosts of lowest rank by rendezvous hashing, one send per second
/// each. The host after them gets the fraction of a send per second that is
/// left.
class warmup_share
{
public:
    /// `self` is the id of this host. It does not affect spend(), whose caller
    /// passes in the rank.
    explicit warmup_share(std::string self);

    /// Takes one send to a cold target; false if this host's share is used up.
    /// `rate` is the target's limit in requests/s over all hosts. `rank` is
    /// this host's rank among `hosts` for the target, from 0.
    bool spend(std::string_view target, double rate, int rank, int hosts,
               time_point now);

    std::string const& self() const { return self_; }

private:
    struct target_sends
    {
        std::deque<time_point> whole; ///< of the last second, oldest first
        time_point fractional{};      ///< latest one from the fraction
    };

    std::string self_;
    std::unordered_map<std::string, target_sends> sends_;
};

} // namespace kumquatramp::serving

#endif
