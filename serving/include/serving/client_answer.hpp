// The final answer to a client's request.
#ifndef KUMQUATRAMP_SERVING_CLIENT_ANSWER_HPP
#define KUMQUATRAMP_SERVING_CLIENT_ANSWER_HPP

#include <base/error_kind.hpp>
#include <base/time.hpp>
#include <optional>
#include <serving/request_type.hpp>
#include <span>
#include <string>

namespace kumquatramp::serving
{

/// Exactly one of three: a target's answer relayed as it is, a merged answer,
/// or an error of this host's own.
struct client_answer
{
    enum class form
    {
        relayed,
        merged,
        error,
    };

    form what = form::error;
    request_type type = request_type::unrouted;
    std::uint64_t attempt = 0; ///< relayed: whose reply
    std::string body;          ///< merged
    std::string part_stamps;   ///< merged: signatures, comma-separated
    int missing_parts = 0;     ///< merged
    error_kind error{};        ///< error
    std::optional<duration> retry_after; ///< error: when to come back
};

} // namespace kumquatramp::serving

#endif
