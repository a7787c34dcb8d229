// Actions that a node returns for its driver to carry out.
#ifndef KUMQUATRAMP_NODE_ACTIONS_HPP
#define KUMQUATRAMP_NODE_ACTIONS_HPP

#include <base/attempt_id.hpp>
#include <config/config_update.hpp>
#include <config/member_entry.hpp>
#include <membership/peer_digest.hpp>
#include <membership/send_grant.hpp>
#include <memory>
#include <node/request_answer.hpp>
#include <string>
#include <variant>
#include <vector>

namespace kumquatramp
{

/// Send a sub-request to a target. Call node::may_send() immediately before
/// writing the first byte, after any queueing; if it returns false, reply with
/// `not_sent`.
struct send_attempt
{
    attempt_id id;
    target_name target;
    std::string address; ///< "IP:port"
    service_name service;
    shard_index shard;
    snapshot_id snapshot; ///< requested; index 0 means the map's newest
    bool idempotent = true;
    std::string request_id; ///< text form; for non-idempotent requests
    time_point deadline;    ///< reply with `timed_out` once it has passed
    std::shared_ptr<std::string const> body;
};

/// Cancel a send whose result is no longer needed. The driver must still
/// deliver its target_reply.
struct cancel_attempt
{
    attempt_id id;
};

/// Deliver the answer to the caller. Emitted exactly once per request.
struct answer_caller
{
    query_number number;
    request_answer answer;
};

/// Send the digest to the peer and pass its answer to on_peer_answer().
struct exchange_digest
{
    member_entry peer;
    peer_digest digest;
};

/// Fetch the update of the key since `held` from the peer, and pass the answer
/// to on_config_update().
struct fetch_config
{
    member_entry peer;
    config_key key = config_key::rules;
    config_stamp held;
};

/// Read the key's value from the platform if it is newer than `held`, waiting
/// up to `wait` for a newer one. Pass the answer to on_platform_value().
struct read_platform
{
    config_key key = config_key::rules;
    config_version held;
    duration wait{0};
};

/// Set how many connections the driver may hold to a target. It opens
/// `preopened` of them before a send needs them.
struct set_connections
{
    target_name target;
    std::string address;
    std::uint32_t max_connections = 0;
    std::uint32_t preopened = 0;
};

/// Request a grant for one send to a cold target from the peer, which is the
/// target's steward. Pass the answer to on_grant_answer(); a request that fails
/// needs no event.
struct ask_grant
{
    member_entry peer;
    target_name target;
};

/// Report to the peer how the send under its grant ended. No answer is
/// expected.
struct report_grant
{
    member_entry peer;
    grant_report report;
};

/// No request is in flight any more: exit the process.
struct finish_shutdown
{
};

using action =
    std::variant<send_attempt, cancel_attempt, answer_caller, exchange_digest,
                 fetch_config, read_platform, set_connections, ask_grant,
                 report_grant, finish_shutdown>;

/// Owned and reused by the driver; the node only appends to it.
using action_list = std::vector<action>;

} // namespace kumquatramp

#endif
