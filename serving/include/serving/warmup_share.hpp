// This host's share of what a cold target bears.
#ifndef KUMQUATRAMP_SERVING_WARMUP_SHARE_HPP
#define KUMQUATRAMP_SERVING_WARMUP_SHARE_HPP

#include <base/time.hpp>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>

namespace kumquatramp::serving
{

/// Divides a cold target's rate over the fleet without messages: an equal
/// share where it is at least one a second, else a subset of hosts, chosen by
/// rendezvous hashing, with one a second each.
class warmup_share
{
public:
    /// `self` names this host in the hashing.
    explicit warmup_share(std::string self);

    /// Takes one send to a cold target now, or says that there is none left.
    /// `rank` is this host's place among `hosts` for the target, from 0.
    bool spend(std::string_view target, double rate, int rank, int hosts,
               time_point now);

    std::string const& self() const { return self_; }

private:
    std::string self_;
    // Sends of the last second, oldest first.
    std::unordered_map<std::string, std::deque<time_point>> sends_;
};

} // namespace kumquatramp::serving

#endif
