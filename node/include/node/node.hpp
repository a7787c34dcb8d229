// The decision logic of one host as a state machine: it takes events and time,
// and returns actions.
#ifndef KUMQUATRAMP_NODE_NODE_HPP
#define KUMQUATRAMP_NODE_NODE_HPP

#include <base/random_source.hpp>
#include <base/result.hpp>
#include <base/time.hpp>
#include <membership/discovery.hpp>
#include <memory>
#include <node/actions.hpp>
#include <node/caller_request.hpp>
#include <node/node_options.hpp>
#include <node/node_status.hpp>
#include <node/target_reply.hpp>
#include <optional>
#include <requests/request_outcome.hpp>
#include <string>
#include <string_view>

namespace kumquatramp
{

class burn_rate_tracker;

/// Performs no I/O: it reads no clock, opens no sockets and starts no threads.
/// All methods are thread-safe. `now` must come from a single monotonic clock
/// that keeps running while the process is stopped. Actions are appended to
/// `out`; the driver carries them out, in any order unless an action says
/// otherwise.
///
///     node n{options, random};
///     action_list out;
///     n.start(now, out);              // contacts the platform and the peers
///     n.on_platform_value(...);       // passes in their answers
///     n.submit(request, now, out);    // a caller's request
///     n.tick(now, out);               // no later than n.next_tick(now)
class node
{
public:
    /// `random` must outlive the node.
    node(node_options options, random_source& random);
    ~node();
    node(node const&) = delete;
    node& operator=(node const&) = delete;

    /// Starts reading from the platform and the peers. Call once, before any
    /// other method.
    void start(time_point now, action_list& out);

    /// Runs all timers and periodic work due by `now`.
    void tick(time_point now, action_list& out);

    /// Returns when tick() is due next, at most one membership round ahead.
    time_point next_tick(time_point now) const;

    // Callers.

    /// Submits a request. Exactly one answer_caller action follows, in this
    /// call or a later one.
    void submit(caller_request request, time_point now, action_list& out);

    /// Cancels a request whose caller has gone: unsent sub-requests are
    /// dropped, and open sends of an idempotent request are cancelled.
    void cancel(query_number number, time_point now, action_list& out);

    /// Issues an id for a non-idempotent request, in its text form. Errors:
    /// leaving, not_ready, stale_view, overloaded.
    result<std::string> issue_request_id(time_point now);

    /// Parses the text form of an id. Errors: invalid_request_id if it is
    /// malformed or forged.
    result<request_id> decode_request_id(std::string_view text) const;

    /// Returns what this host knows about an id. For an id of another host or
    /// incarnation: the error foreign_request_id with the issuing host's caller
    /// address if that incarnation is a member that is not dead, else the state
    /// unknown.
    result<request_outcome> outcome_of(request_id const& id,
                                       time_point now) const;

    /// Returns the hosts that a caller should use. Errors: not_ready.
    result<discovery_answer> discover(discovery_request const& request,
                                      time_point now);

    /// Returns whether new requests are accepted: the host has booted, its view
    /// is valid and shutdown has not begun to refuse requests.
    bool ready(time_point now) const;

    // Targets.

    /// Returns whether a send_attempt may still be sent. For a non-idempotent
    /// request, true permits exactly one send, which must start immediately.
    bool may_send(attempt_id const& id, time_point now);

    /// The result of a send_attempt.
    void on_target_reply(target_reply reply, time_point now, action_list& out);

    /// An idle connection to the target was lost.
    void on_connection_lost(target_name const& target, time_point now);

    // Platform.

    /// The answer to a read_platform that was started at `asked`. `text` is
    /// empty if `version` is not newer than the held version.
    void on_platform_value(config_key key, config_version version,
                           std::optional<std::string_view> text,
                           time_point asked, time_point now, action_list& out);

    /// A read_platform failed; it is retried later.
    void on_platform_failed(config_key key, time_point now, action_list& out);

    // Peers. The driver must authenticate their messages.

    /// Handles a peer's digest; returns the answer to send back.
    peer_digest on_peer_digest(peer_digest const& digest, time_point now,
                               action_list& out);

    /// Handles a peer's answer to an exchange_digest sent at `asked`.
    void on_peer_answer(peer_digest const& digest, time_point asked,
                        time_point now, action_list& out);

    /// Handles a peer's fetch_config; returns the update to send back.
    config_update on_fetch(config_key key, config_stamp held) const;

    /// Handles a peer's answer to a fetch_config.
    void on_config_update(host_name const& peer, config_update const& update,
                          time_point now, action_list& out);

    /// Handles a peer's request for one send to a cold target; returns the
    /// answer to send back.
    grant_answer on_grant_request(target_name const& target, time_point now);

    /// Handles a steward's answer to an ask_grant sent at `asked`.
    void on_grant_answer(member_entry const& peer, target_name const& target,
                         grant_answer const& answer, time_point asked,
                         time_point now, action_list& out);

    /// Handles a peer's report of how the send under a grant ended.
    void on_grant_report(grant_report const& report, time_point now);

    /// An exchange with or fetch from the peer failed.
    void on_peer_failed(host_name const& peer, time_point now,
                        action_list& out);

    /// Starts graceful shutdown; a finish_shutdown action follows.
    void shut_down(time_point now);

    // Operators.

    node_status status(time_point now) const;
    burn_rate_tracker const& burn() const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace kumquatramp

#endif
