// Which hosts live, by heartbeats that spread by gossip.
#ifndef KUMQUATRAMP_FLEET_FLEET_VIEW_HPP
#define KUMQUATRAMP_FLEET_FLEET_VIEW_HPP

#include <base/random_source.hpp>
#include <base/time.hpp>
#include <fleet/peer_state.hpp>
#include <map>
#include <serving/belief_log.hpp>
#include <serving/fleet_size.hpp>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace kumquatramp::fleet
{

/// Every round a host tells a few others what it knows; a host whose heartbeat
/// stands still is taken for dead. There is no leader and nothing is stored.
///
///     fleet_view view(self, seeds, random, log);
///     auto peers = view.next_round(now);   // send view.news() to these
///     view.merge(sender_ip, states, now);  // what came from another host
class fleet_view final : public serving::fleet_size
{
public:
    /// `seeds` are IPs of hosts to begin with; some may be down.
    fleet_view(peer_state self, std::vector<std::string> seeds,
               random_source& random, serving::belief_log& log,
               time_point now);

    void set_seeds(std::vector<std::string> seeds);
    void set_ready(bool ready) { self_.ready = ready; }
    void set_leaving() { self_.leaving = true; }

    /// Advances the own heartbeat, judges who is dead and names the hosts to
    /// send this round's news to.
    std::vector<std::string> next_round(time_point now);

    /// What to tell: the own state first, then the freshest of the others.
    std::vector<peer_state> news(time_point now) const;

    /// Takes in what a host said; `sender` is the address it came from.
    void merge(std::string_view sender, std::span<peer_state const> states,
               time_point now);

    /// IPs that a client in this zone should use: live, ready hosts of its
    /// zone, or of all zones where its own has too few.
    std::vector<std::string> directory(std::string_view zone,
                                       time_point now) const;

    int hosts(time_point now) const override;
    int rank(std::string_view key, time_point now) const override;
    int live_hosts(time_point now) const;
    peer_state const& self() const { return self_; }

private:
    struct peer
    {
        peer_state state;
        time_point heard{}; ///< when its heartbeat last advanced here
        bool live = false;
    };

    void take(peer_state const& state, bool direct, time_point now);

    peer_state self_;
    std::vector<std::string> seeds_;
    random_source& random_;
    serving::belief_log& log_;
    time_point started_;
    std::map<std::string, peer, std::less<>> peers_; // without self
    std::size_t seed_turn_ = 0;
};

} // namespace kumquatramp::fleet

#endif
