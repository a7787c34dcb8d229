// Conversion of a send to an HTTP request, and of its result to a target reply.
#ifndef KUMQUATRAMP_TRANSPORT_TARGET_EXCHANGE_HPP
#define KUMQUATRAMP_TRANSPORT_TARGET_EXCHANGE_HPP

#include <base/time.hpp>
#include <eventloop/upstream_pool.hpp>
#include <node/target_reply.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace kumquatramp
{

namespace eventloop
{
struct http_message;
}

struct send_attempt;

/// Serializes the execute request of a send as specified in docs/PROTOCOLS.md.
std::string serialize_execute_request(send_attempt const& send,
                                      std::string_view trace, time_point now);

/// Serializes the request that tells a target to cancel an attempt.
std::string serialize_cancel_request(attempt_id const& id,
                                     std::string_view address);

/// Reads a complete answer. An answer that does not echo the attempt's id is
/// malformed regardless of its other content. The payload of an idempotent
/// service's answer is the text between the brackets of its items array, so
/// that answers can be merged without parsing them again.
target_reply read_target_answer(send_attempt const& send,
                                eventloop::http_message const& answer);

/// Why this host abandoned a send, if it did.
struct abandon_reason
{
    bool withdrawn = false; ///< it was cancelled
    bool timed_out = false; ///< its deadline passed
};

/// Determines the outcome of a send that has ended.
attempt_outcome outcome_of(eventloop::send_outcome ended,
                           std::optional<target_reply> const& answer,
                           abandon_reason reason);

} // namespace kumquatramp

#endif
