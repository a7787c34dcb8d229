// Membership of the fleet and the choice of the hosts that serve.
#ifndef KUMQUATRAMP_FLEET_FLEET_VIEW_HPP
#define KUMQUATRAMP_FLEET_FLEET_VIEW_HPP

#include <base/random_source.hpp>
#include <base/time.hpp>
#include <fleet/fleet_message.hpp>
#include <fleet/peer_state.hpp>
#include <map>
#include <serving/event_sink.hpp>
#include <serving/fleet_size.hpp>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace kumquatramp::fleet
{

/// Membership in the manner of SWIM: in each protocol period a host pings one
/// other host, and asks further hosts to ping it if no ack arrives. State
/// changes piggyback on pings and acks, so the messages per host do not grow
/// with the fleet. There is no leader and nothing is stored.
///
///     fleet_view view(self, seeds, random, log, now);
///     for (auto const& m : view.tick(now)) send(m); // each protocol period
///     for (auto const& m : view.handle_message(sender, message, now)) send(m);
class fleet_view final : public serving::fleet_size
{
public:
    /// Time between two calls of tick().
    static constexpr duration protocol_period = 500ms;

    /// `seeds` are the IPs of hosts to contact first; some may be down.
    fleet_view(peer_state self, std::vector<std::string> seeds,
               random_source& random, serving::event_sink& log, time_point now);

    void set_seeds(std::vector<std::string> seeds);
    void set_ready(bool ready);
    void set_leaving();
    void set_busy(bool busy);

    /// Runs one protocol period; returns the messages to send.
    std::vector<outgoing_message> tick(time_point now);
    /// Merges the states of a received message; returns the messages to send.
    std::vector<outgoing_message> handle_message(std::string const& sender,
                                                 fleet_message const& message,
                                                 time_point now);

    /// Messages with this host's state for all live hosts: for changes that
    /// cannot wait for the next pings.
    std::vector<outgoing_message> announce() const;

    /// Drops the outstanding probes and gives suspects their whole time again.
    /// To be called after this machine was suspended, when a missing ack or
    /// denial says nothing about the other host.
    void forgive_silence(time_point now);

    /// IPs of the hosts that a client in this zone should use: the ready hosts
    /// of the serving set, only those of its zone if the zone has enough.
    std::vector<std::string> directory(std::string_view zone) const;

    /// Whether this host belongs to the serving set: the hosts of each zone
    /// with the largest weights, as many as are needed to carry the load
    /// several times over. The others are on standby: they neither follow the
    /// platform's store nor accept clients. Control traffic thus grows with the
    /// load and not with the fleet, and the few serving hosts each send enough
    /// requests to every target to assess it. Hosts with the same view compute
    /// the same set.
    bool serves() const;

    /// Whether enough is known of the other hosts to rely on serves().
    bool settled(time_point now) const;

    int hosts(time_point now) const override;
    int rank(std::string_view key, time_point now) const override;
    /// Hosts not known to be dead, including this one.
    int live_hosts() const;
    peer_state const& self() const { return self_; }

private:
    struct peer
    {
        peer_state state;
        time_point changed_at{}; ///< when the current state was learned
    };
    /// A state change to piggyback on `transmissions_left` more messages.
    struct pending_update
    {
        std::string ip;
        int transmissions_left = 0;
    };
    /// A ping to `ip` without an ack so far.
    struct probe
    {
        std::string ip;
        time_point sent_at{};
        bool indirect = false;
    };
    /// A ping sent on behalf of `requester`. `sequence` is the number from the
    /// requester's message, under which the ack is relayed.
    struct relay
    {
        std::string requester;
        std::uint32_t sequence = 0;
        time_point sent_at{};
    };

    void publish_self();
    void merge(peer_state const& state, bool disseminate, time_point now);
    void enqueue_update(std::string const& ip);
    std::vector<peer_state> next_updates();
    /// Digests of the states by range of hosts; empty in a small fleet, whose
    /// states are compared as a whole.
    std::vector<std::uint64_t> range_digests() const;
    std::uint64_t digest() const;
    void answer_pull(std::string const& sender, fleet_message const& message,
                     std::vector<outgoing_message>& out) const;
    std::vector<std::string> live_ips() const;
    std::vector<std::string> choose_proxies(std::string const& ip) const;
    std::string pick_random(std::vector<std::string> const& ips) const;
    void check_probes(time_point now, std::vector<outgoing_message>& out);
    void check_suspects(time_point now);
    void probe_next(time_point now, std::vector<outgoing_message>& out);
    void pull_next(std::vector<outgoing_message>& out);
    void suspect(std::string const& ip, time_point now);
    std::vector<peer_state const*> serving_set() const;

    peer_state self_;
    std::vector<std::string> seeds_;
    random_source& random_;
    serving::event_sink& log_;
    time_point started_;
    std::map<std::string, peer, std::less<>> peers_; // excludes this host
    std::vector<pending_update> pending_updates_;
    std::unordered_map<std::uint32_t, probe> probes_; // by sequence number
    std::unordered_map<std::uint32_t, relay> relays_; // by sequence number
    std::vector<std::string> probe_order_;            // hosts left in this pass
    std::uint32_t last_sequence_ = 0;
    std::uint64_t period_count_ = 0;
};

} // namespace kumquatramp::fleet

#endif
