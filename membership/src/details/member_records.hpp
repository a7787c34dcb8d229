// Implementation of member_table: one record per known host.
#ifndef KUMQUATRAMP_MEMBERSHIP_DETAILS_MEMBER_RECORDS_HPP
#define KUMQUATRAMP_MEMBERSHIP_DETAILS_MEMBER_RECORDS_HPP

#include <details/fleet_scale.hpp>
#include <details/member_record.hpp>
#include <details/peer_rotation.hpp>
#include <map>
#include <membership/member_table.hpp>

namespace kumquatramp
{

/// Not thread-safe; member_table holds its mutex during calls.
struct member_table::state
{
    /// A member's record and the number of digests that still send it first.
    struct tracked_member
    {
        member_record record;
        std::uint32_t priority_sends_left = 0;
    };

    state(member_entry self, incarnation life,
          membership_options const& options, random_source& random);

    void apply_list(std::span<member_entry const> list, time_point now);
    void merge(peer_digest const& digest, time_point now);
    std::vector<heartbeat> next_heartbeats(bool leaving, time_point now,
                                           bool answer);
    std::vector<member_entry> pick_peers(time_point now, bool urgent);
    std::vector<member_state> members(time_point now) const;
    std::vector<member_entry> serving(time_point now) const;
    std::uint32_t host_count(time_point now) const;
    bool is_reader(time_point now) const;
    std::vector<member_entry> readers(time_point now) const;
    std::optional<member_entry> find(host_name const& name) const;

private:
    liveness state_of(tracked_member const& member, time_point now) const;
    bool counts_as_member(host_name const& name,
                          tracked_member const& member) const;
    bool is_self(host_name const& name) const;
    void observe(heartbeat const& beat, member_record::source from,
                 time_point now);
    tracked_member* find_or_add(host_name const& name, time_point now);
    bool should_forward(tracked_member const& member, time_point now) const;
    void add_updates(std::vector<heartbeat>& beats, std::size_t max_beats,
                     time_point now);
    void add_round_robin(std::vector<heartbeat>& beats, std::size_t max_beats,
                         time_point now);
    bool eligible_for_zone_order(tracked_member const& member,
                                 time_point now) const;
    std::vector<host_name> zone_order(time_point now) const;
    std::vector<host_name> zone_readers(time_point now) const;
    std::uint32_t update_repeats() const;

    std::vector<host_name> names() const;
    bool is_silent(host_name const& name, time_point now) const;
    bool is_reachable(host_name const& name, time_point now) const;
    void add_peer(std::vector<member_entry>& peers,
                  std::optional<host_name> const& name) const;
    void add_upstream(std::vector<member_entry>& peers, time_point now);
    void add_from_rotations(std::vector<member_entry>& peers, std::size_t count,
                            bool voters_first, time_point now);
    void add_probe(std::vector<member_entry>& peers, time_point now);

    host_name const self_;
    membership_options const options_;
    // For the number of listed members.
    fleet_scale scale_;
    random_source& random_;

    // Invariant: contains self_ and every listed host.
    std::map<host_name, tracked_member> members_;
    heartbeat own_heartbeat_;
    // Last host considered by add_round_robin().
    host_name round_robin_cursor_;
    std::vector<host_name> voters_;

    // Members, and voters, for which is_reachable() holds.
    peer_rotation reachable_peers_;
    peer_rotation voting_peers_;
    // Members for which is_silent() holds.
    peer_rotation silent_peers_;
    std::uint32_t rounds_ = 0;
};

} // namespace kumquatramp

#endif
