// Which hosts live and which of them serve.
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

/// Membership in the manner of SWIM: each round a host pings one other,
/// through others where it gets no answer; changes ride on pings and acks, so
/// that a host's messages do not grow with the fleet. There is no leader and
/// nothing is stored.
///
///     fleet_view view(self, seeds, random, log, now);
///     for (auto const& m : view.tick(now)) send(m);            // each round
///     for (auto const& m : view.hear(sender, message, now)) send(m);
class fleet_view final : public serving::fleet_size
{
public:
    /// Time between two rounds.
    static constexpr duration round = 500ms;

    /// `seeds` are IPs of hosts to begin with; some may be down.
    fleet_view(peer_state self, std::vector<std::string> seeds,
               random_source& random, serving::event_sink& log, time_point now);

    void set_seeds(std::vector<std::string> seeds);
    void set_ready(bool ready);
    void set_leaving();
    void set_busy(bool busy);

    std::vector<outgoing_message> tick(time_point now);
    std::vector<outgoing_message> hear(std::string const& sender,
                                       fleet_message const& message,
                                       time_point now);

    /// The own state for all live hosts: for news that cannot wait.
    std::vector<outgoing_message> announce() const;

    /// This machine was suspended: silence of others proves nothing.
    void forget_probes();

    /// IPs that a client in this zone should use: ready hosts of the serving
    /// set, those of its zone where it has enough.
    std::vector<std::string> directory(std::string_view zone) const;

    /// Whether this host belongs to the serving set: the strongest hosts of
    /// each zone that together bear the load some times over. The others stand
    /// by: they neither follow the platform's store nor take clients, so that
    /// control grows with the load and not with the fleet, and few hosts see
    /// enough of each target to judge it. Hosts with the same view agree.
    bool serves() const;

    /// Whether enough is known of the others for serves() to mean something.
    bool settled(time_point now) const;

    int hosts(time_point now) const override;
    int rank(std::string_view key, time_point now) const override;
    int live_hosts() const;
    peer_state const& self() const { return self_; }

private:
    struct peer
    {
        peer_state state;
        time_point changed{}; ///< when the present state was learned
    };
    /// News that still has to be told, and how often.
    struct rumour
    {
        std::string ip;
        int left = 0;
    };
    struct probe
    {
        std::string ip;
        time_point sent{};
        bool indirect = false;
    };
    struct relay
    {
        std::string requester;
        std::uint32_t number = 0;
        time_point sent{};
    };

    void change_self();
    void merge(peer_state const& state, bool tell_on, time_point now);
    void spread(std::string const& ip);
    std::vector<peer_state> take_rumours();
    std::uint64_t digest() const;
    std::vector<std::string> live_ips() const;
    std::vector<std::string> helpers_for(std::string const& ip) const;
    std::string pick(std::vector<std::string> const& ips) const;
    void judge_probes(time_point now, std::vector<outgoing_message>& out);
    void judge_suspects(time_point now);
    void probe_next(time_point now, std::vector<outgoing_message>& out);
    void pull_next(std::vector<outgoing_message>& out);
    void suspect(std::string const& ip, time_point now);
    std::vector<peer_state const*> serving_set() const;

    peer_state self_;
    std::vector<std::string> seeds_;
    random_source& random_;
    serving::event_sink& log_;
    time_point started_;
    std::map<std::string, peer, std::less<>> peers_; // without self
    std::vector<rumour> rumours_;
    std::unordered_map<std::uint32_t, probe> probes_;
    std::unordered_map<std::uint32_t, relay> relays_;
    std::vector<std::string> probe_order_;
    std::uint32_t last_number_ = 0;
    std::uint64_t rounds_ = 0;
};

} // namespace kumquatramp::fleet

#endif
