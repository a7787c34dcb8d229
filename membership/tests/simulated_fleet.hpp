// Simulation of many hosts with their tables, leases and elections.
#ifndef KUMQUATRAMP_MEMBERSHIP_TESTS_SIMULATED_FLEET_HPP
#define KUMQUATRAMP_MEMBERSHIP_TESTS_SIMULATED_FLEET_HPP

#include <base/seeded_random.hpp>
#include <functional>
#include <map>
#include <membership/member_table.hpp>
#include <membership/read_pacer.hpp>
#include <membership/steward_election.hpp>
#include <membership/view_lease.hpp>
#include <memory>
#include <string>
#include <vector>

namespace kumquatramp
{

/// Simulates the platform, a network that can be partitioned into groups, and
/// hosts that use the membership library as a node does, in virtual time. A
/// single version number represents a whole view.
class simulated_fleet
{
public:
    struct host
    {
        member_entry entry;
        incarnation life;
        std::unique_ptr<member_table> table;
        std::unique_ptr<view_lease> lease;
        std::unique_ptr<steward_election> election;
        std::unique_ptr<read_pacer> pacer;
        std::uint64_t version_in_force = 0;
        bool alive = true;
        int group = 0; ///< only hosts of the same group reach each other
        time_point paused_until{};
        bool leaving = false;
        bool platform_reachable = true;
        std::uint64_t platform_lag = 0; ///< versions by which its reads lag
        std::uint64_t bytes_sent = 0;   ///< estimate for JSON-RPC over TCP
    };

    simulated_fleet(std::size_t count, membership_options const& options,
                    std::uint64_t seed, std::size_t zones = 3);

    /// Runs until `end` and calls `check` about every 20 ms.
    void run_until(time_point end, std::function<void()> const& check);

    void publish();
    void restart(std::size_t index);
    void pause(std::size_t index, duration span);
    void assign_group(std::size_t index, int group);

    /// Whether the host's process is running, not paused, and may send new
    /// work.
    bool may_send(host const& h) const;

    bool paused(host const& h) const { return now_ < h.paused_until; }

    /// Returns the oldest version that a sender may still use: the highest one
    /// that the platform first returned to a host more than `max_staleness`
    /// ago.
    std::uint64_t required_version() const;

    time_point now() const { return now_; }
    std::vector<host>& hosts() { return hosts_; }
    seeded_random& random() { return random_; }
    std::uint64_t reads() const { return reads_; }

    static constexpr duration max_staleness = 5s;

private:
    using event = std::function<void()>;

    void boot(host& h);
    void at(time_point when, event action);
    void schedule_round(std::size_t index, incarnation life, time_point when);
    void run_round(std::size_t index);
    void read_platform(std::size_t index);
    void exchange(std::size_t from, std::size_t to);
    void apply_digest(host& h, peer_digest const& digest);
    peer_digest digest_of(host& h, bool answer);
    duration delay();

    /// Runs `action` at `when`, or at the end of the host's pause; drops it if
    /// the incarnation has ended by then.
    void deliver(std::size_t index, time_point when, event action);

    membership_options options_;
    seeded_random random_;
    std::vector<member_entry> list_;
    std::vector<host> hosts_;
    std::map<host_name, std::size_t> index_of_;
    std::multimap<time_point, event> events_;
    std::uint64_t published_ = 1;        // newest version on the platform
    std::vector<time_point> first_read_; // when a host first read version i + 1
    time_point now_{100s};
    std::uint64_t reads_ = 0;
};

} // namespace kumquatramp

#endif
