// Simulated network: delays and partitions between hosts, targets, callers
// and the platform.
#ifndef KUMQUATRAMP_SCENARIOS_FAKE_NETWORK_HPP
#define KUMQUATRAMP_SCENARIOS_FAKE_NETWORK_HPP

#include <base/ids.hpp>
#include <base/seeded_random.hpp>
#include <base/time.hpp>
#include <scenarios/event_queue.hpp>
#include <set>
#include <string>
#include <unordered_map>

namespace kumquatramp::scenarios
{

/// One-way delays of a deployment.
struct network_delays
{
    duration within_zone = 100us;
    duration between_zones = 500us;
    duration to_callers = 1ms;
};

/// Endpoints are identified by name. The delay to an endpoint without an
/// availability zone ("platform", "callers") is `to_callers`.
class fake_network
{
public:
    fake_network(event_queue& queue, network_delays const& delays,
                 std::uint64_t seed);

    void set_zone(std::string const& endpoint, zone_name const& zone);

    /// Runs the job after the network delay; drops it if the two endpoints
    /// are partitioned when it is sent or when it would arrive. A job sent
    /// while no partition exists anywhere always arrives.
    void send(std::string const& from, std::string const& to,
              event_queue::job arrival);

    void cut(std::string const& a, std::string const& b);
    void heal(std::string const& a, std::string const& b);
    bool connected(std::string const& a, std::string const& b) const;

private:
    duration delay(std::string const& from, std::string const& to);

    event_queue& queue_;
    network_delays const delays_;
    seeded_random random_;
    std::unordered_map<std::string, zone_name> zones_;
    std::set<std::pair<std::string, std::string>> cuts_; ///< sorted pairs
};

} // namespace kumquatramp::scenarios

#endif
