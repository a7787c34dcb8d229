// Handler of requests from other hosts and of responses to own requests.
#ifndef KUMQUATRAMP_TRANSPORT_PEER_EVENTS_HPP
#define KUMQUATRAMP_TRANSPORT_PEER_EVENTS_HPP

#include <base/ids.hpp>
#include <base/time.hpp>
#include <config/config_update.hpp>
#include <config/member_entry.hpp>
#include <membership/peer_digest.hpp>
#include <membership/send_grant.hpp>

namespace kumquatramp
{

/// Called on transport threads with no transport locks held. All messages have
/// been authenticated.
class peer_events
{
public:
    peer_events() = default;
    peer_events(peer_events const&) = delete;
    peer_events& operator=(peer_events const&) = delete;
    virtual ~peer_events() = default;

    // Requests received from a peer.
    virtual peer_digest on_peer_digest(peer_digest const& digest) = 0;
    virtual config_update on_fetch(config_key key, config_stamp held) = 0;
    virtual grant_answer on_grant_request(target_name const& target) = 0;
    virtual void on_grant_report(grant_report const& report) = 0;

    // Responses to requests that this host sent; `asked` is the time at which
    // the request was sent.
    virtual void on_peer_answer(peer_digest const& digest,
                                time_point asked) = 0;
    virtual void on_config_update(host_name const& peer,
                                  config_update const& update) = 0;
    virtual void on_grant_answer(member_entry const& peer,
                                 target_name const& target,
                                 grant_answer const& answer,
                                 time_point asked) = 0;

    /// A digest exchange or configuration fetch failed.
    virtual void on_peer_failed(host_name const& peer) = 0;
};

} // namespace kumquatramp

#endif
