// Outcome of one attempt to run a request on one target.
#ifndef KUMQUATRAMP_LIMITS_ATTEMPT_OUTCOME_HPP
#define KUMQUATRAMP_LIMITS_ATTEMPT_OUTCOME_HPP

#include <cstdint>
#include <string_view>

namespace kumquatramp
{

enum class attempt_outcome : std::uint8_t
{
    answered,       ///< a complete answer arrived
    refused,        ///< the target shed it without executing it
    draining,       ///< refused by a target that is shutting down
    wrong_snapshot, ///< the target lacks the snapshot; not executed
    not_sent,       ///< cancelled by this host before any byte was sent
    connect_failed, ///< no connection was established; no byte was sent
    broken,         ///< the connection broke after bytes were sent
    timed_out,      ///< no answer by the deadline
    cancelled,      ///< cancelled by this host after it was sent
    failed,         ///< the target executed it and reported a failure
    malformed,      ///< answer truncated, corrupt or for another request
};

/// Whether it is certain that the target did not execute the request.
constexpr bool certainly_not_run(attempt_outcome outcome) noexcept
{
    switch (outcome)
    {
    case attempt_outcome::refused:
    case attempt_outcome::draining:
    case attempt_outcome::wrong_snapshot:
    case attempt_outcome::not_sent:
    case attempt_outcome::connect_failed:
        return true;
    default:
        return false;
    }
}

std::string_view to_string(attempt_outcome outcome) noexcept;

} // namespace kumquatramp

#endif
