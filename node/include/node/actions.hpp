// What a node asks its driver to do.
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

/// Send a sub-request. Ask node::may_send() directly before the first byte,
/// after every queue and wait; if it says no, reply with `not_sent`.
struct send_attempt
{
    attempt_id id;
    target_name target;
    std::string address; ///< "IP:port"
    service_name service;
    shard_index shard;
    snapshot_id snapshot; ///< wanted; index 0 asks for the newest of the map
    bool idempotent = true;
    std::string request_id; ///< text, for non-idempotent requests
    time_point deadline;    ///< reply with timed_out after it
    std::shared_ptr<std::string const> body;
};

/// Withdraw a send: it is no longer wanted. Its reply is still due.
struct cancel_attempt
{
    attempt_id id;
};

/// Hand the answer to the caller. Given exactly once for each request.
struct answer_caller
{
    query_number number;
    request_answer answer;
};

/// Send the digest to the peer, and give its answer to on_peer_answer().
struct exchange_digest
{
    member_entry peer;
    peer_digest digest;
};

/// Ask the peer for what it holds of the key beyond `held`, and give the
/// answer to on_config_update().
struct fetch_config
{
    member_entry peer;
    config_key key = config_key::rules;
    config_stamp held;
};

/// Ask the platform for the key's value if it is newer than `held`; wait for
/// one up to `wait`. Give the answer to on_platform_value().
struct read_platform
{
    config_key key = config_key::rules;
    config_version held;
    duration wait{0};
};

/// The number of connections that the driver may hold to a target; open
/// `preopened` of them ahead of need.
struct set_connections
{
    target_name target;
    std::string address;
    std::uint32_t max_connections = 0;
    std::uint32_t preopened = 0;
};

/// Ask the peer, steward of a cold target, for the right to one send. Give
/// its answer to on_grant_answer(); a question that fails needs no event.
struct ask_grant
{
    member_entry peer;
    target_name target;
};

/// Tell the peer how the send under its grant ended. No answer is due.
struct report_grant
{
    member_entry peer;
    grant_report report;
};

/// Nothing is in flight any more: end the process.
struct finish_shutdown
{
};

using action =
    std::variant<send_attempt, cancel_attempt, answer_caller, exchange_digest,
                 fetch_config, read_platform, set_connections, ask_grant,
                 report_grant, finish_shutdown>;

/// Owned and reused by the driver; a node only appends.
using action_list = std::vector<action>;

} // namespace kumquatramp

#endif
