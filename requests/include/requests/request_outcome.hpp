// State and outcome of a non-idempotent request, as recorded by its host.
#ifndef KUMQUATRAMP_REQUESTS_REQUEST_OUTCOME_HPP
#define KUMQUATRAMP_REQUESTS_REQUEST_OUTCOME_HPP

#include <base/error_kind.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace kumquatramp
{

enum class request_state : std::uint8_t
{
    unused,  ///< issued, not yet presented; may still run
    waiting, ///< admitted, not yet sent; may still run
    sent,    ///< sent to a target; no response yet
    ran,     ///< executed by a target; `response` holds its response
    not_run, ///< certainly not executed, and never will be
    unknown, ///< may have run; never sent again
};

std::string_view to_string(request_state state) noexcept;

struct request_outcome
{
    request_state state = request_state::unknown;
    std::optional<error_kind> error; ///< set for not_run and unknown
    std::string response;            ///< set for ran

    /// True if the request ran but its response was dropped to save space.
    bool response_dropped = false;
};

} // namespace kumquatramp

#endif
