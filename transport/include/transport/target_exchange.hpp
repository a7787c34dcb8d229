// Turns a send into an HTTP message, and its end into a target reply.
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

/// The message of a send, as docs/PROTOCOLS.md gives it.
std::string execution_bytes(send_attempt const& send, std::string_view trace,
                            time_point now);

/// The message that an attempt's answer is no longer wanted.
std::string withdrawal_bytes(attempt_id const& id, std::string_view address);

/// Reads a whole answer. Any answer that does not echo the attempt's id is
/// malformed, whatever else it says. The payload of an idempotent service's
/// answer is the inner text of its items array, so that answers can be
/// joined without being parsed again.
target_reply read_target_answer(send_attempt const& send,
                                eventloop::http_message const& answer);

/// Why this host gave up on a send, if it did.
struct given_up
{
    bool withdrawn = false; ///< it was no longer wanted
    bool timed_out = false; ///< its deadline passed
};

/// What is known of a send once it has ended.
attempt_outcome outcome_of(eventloop::send_outcome ended,
                           std::optional<target_reply> const& answer,
                           given_up why);

} // namespace kumquatramp

#endif
