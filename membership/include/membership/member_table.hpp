// Table of the fleet's hosts, from the platform's list and peer gossip.
#ifndef KUMQUATRAMP_MEMBERSHIP_MEMBER_TABLE_HPP
#define KUMQUATRAMP_MEMBERSHIP_MEMBER_TABLE_HPP

#include <base/random_source.hpp>
#include <base/time.hpp>
#include <membership/member_state.hpp>
#include <membership/membership_options.hpp>
#include <membership/peer_digest.hpp>
#include <memory>
#include <mutex>
#include <optional>
#include <span>
#include <vector>

namespace kumquatramp
{

/// Combines the platform's list, which lags behind and says who may be a member
/// and in which availability zone, with the heartbeats that peers pass on,
/// which say who is alive. Thread-safe.
class member_table
{
public:
    /// `random` must outlive the table.
    member_table(member_entry self, incarnation life,
                 membership_options const& options, random_source& random);
    ~member_table();

    /// Applies the platform's list. Hosts that are no longer listed are
    /// removed, except for the local host, which always stays in the table.
    void apply_list(std::span<member_entry const> list, time_point now);

    /// Merges the heartbeats of a digest received from a peer.
    void merge(peer_digest const& digest, time_point now);

    /// Returns the heartbeats for the next digest and increments the local one.
    /// The local heartbeat comes first, then recent updates, those of leaving
    /// hosts before others, then the remaining members in round-robin order.
    ///
    /// With `answer` set, the digest holds up to max_heartbeats, so that it
    /// names every live member of a fleet of up to that size; a request holds
    /// only a few. In larger fleets both hold two.
    std::vector<heartbeat> next_heartbeats(bool leaving, time_point now,
                                           bool answer = true);

    /// Selects the peers to exchange digests with in this round:
    /// - Unless this host is a reader: a host of the local zone that is closer
    ///   to the platform in the zone's tree (a reader, if the zone is small).
    /// - `fanout` members that are neither dead nor unheard. Each host uses an
    ///   order of its own and selects every member once before it selects any
    ///   again. In fleets of more than max_heartbeats members, unheard members
    ///   are included, and only one member is selected, by a reader in every
    ///   round and by other hosts in every eighth round.
    /// - Periodically one of the remaining members as well, so that healed
    ///   partitions and new hosts are detected.
    ///
    /// `urgent` is set by a host whose view is older than half its lifetime. It
    /// selects twice `fanout` members, voters before others; in fleets of at
    /// least max_voters members only readers do so.
    std::vector<member_entry> pick_peers(time_point now, bool urgent = false);

    /// Returns all members, including the local host, sorted by name.
    std::vector<member_state> members(time_point now) const;

    /// Returns the members that are live or suspect and not leaving. The local
    /// host is included if it is listed or if no list has been received yet. In
    /// fleets of more than max_heartbeats members, unheard members are included
    /// as well.
    std::vector<member_entry> serving(time_point now) const;

    /// Returns an upper bound on the number of hosts that may be sending to
    /// targets: all that are listed or were heard from within death_time.
    std::uint32_t host_count(time_point now) const;

    /// Whether this host is one of the `readers_per_zone` hosts that poll the
    /// platform for its availability zone. Readers are chosen by rendezvous
    /// over the zone's live hosts; in fleets of more than max_heartbeats
    /// members, over all its hosts that are not known to be dead or leaving.
    bool is_reader(time_point now) const;

    /// Returns the readers of this host's zone, without the local host.
    std::vector<member_entry> readers(time_point now) const;

    std::optional<member_entry> find(host_name const& name) const;

private:
    struct state;
    mutable std::mutex mutex_;
    std::unique_ptr<state> state_; // guarded by mutex_
};

} // namespace kumquatramp

#endif
