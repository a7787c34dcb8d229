// Table of the answers to callers, by error kind.
#include <array>
#include <base/error_answer.hpp>
#include <cstddef>

namespace kumquatramp
{

namespace
{

using k = error_kind;
constexpr auto not_run = run_state::not_run;
constexpr auto unknown = run_state::unknown;

// One row per kind, in the order of the enumeration, which answer_of() relies
// on for its index. The codes and texts are sent to callers.
constexpr std::array<error_answer, error_kind_count> table{{
    {k::malformed_request, "malformed_request", 400, not_run, false,
     "The request could not be read."},
    {k::body_too_large, "body_too_large", 413, not_run, false,
     "The request's body is over the limit."},
    {k::unknown_path, "unknown_path", 404, not_run, false,
     "There is nothing at this path."},
    {k::unknown_service, "unknown_service", 404, not_run, false,
     "No service has this name."},
    {k::invalid_request_id, "invalid_request_id", 400, not_run, false,
     "The request id was not issued by this system."},
    {k::foreign_request_id, "foreign_request_id", 421, unknown, false,
     "Another host issued this request id; this host has not run it."},
    {k::duplicate_request, "duplicate_request", 409, unknown, false,
     "This request id has been used; ask for its outcome."},
    {k::rate_limited, "rate_limited", 429, not_run, true,
     "The caller is over its rate."},
    {k::overloaded, "overloaded", 503, not_run, true,
     "The system is at its limit."},
    {k::leaving, "leaving", 503, not_run, true,
     "This host is shutting down; use another."},
    {k::not_ready, "not_ready", 503, not_run, true,
     "This host has no configuration yet."},
    {k::stale_view, "stale_view", 503, not_run, true,
     "This host is cut off from the fleet; use another."},
    {k::no_target, "no_target", 503, not_run, true,
     "No target may receive this request now."},
    {k::cancelled, "cancelled", 499, not_run, false,
     "The caller gave up before the request was sent."},
    {k::deadline_exceeded, "deadline_exceeded", 504, not_run, false,
     "The deadline passed before the request was sent."},
    {k::insufficient_coverage, "insufficient_coverage", 504, unknown, false,
     "Too few shards answered in time."},
    {k::target_failed, "target_failed", 502, unknown, false,
     "The target failed."},
    {k::outcome_unknown, "outcome_unknown", 502, unknown, false,
     "The request may have run; ask for its outcome before repeating it."},
    {k::unauthorized, "unauthorized", 401, not_run, false,
     "The message's signature is missing or wrong."},
    {k::invalid_configuration, "invalid_configuration", 422, not_run, false,
     "The configuration has faults."},
    {k::stale_configuration, "stale_configuration", 409, not_run, false,
     "A newer configuration is in force."},
    {k::platform_unavailable, "platform_unavailable", 503, not_run, true,
     "The platform did not answer."},
    {k::headers_too_large, "headers_too_large", 431, not_run, false,
     "The request's headers are over the limit."},
    {k::request_timeout, "request_timeout", 408, not_run, false,
     "The request did not arrive in time."},
    {k::target_timeout, "target_timeout", 504, unknown, false,
     "No target answered in time."},
    {k::internal, "internal", 500, unknown, false, "Internal fault."},
}};

constexpr bool rows_in_order()
{
    for (std::size_t i = 0; i < table.size(); ++i)
    {
        if (table[i].kind != static_cast<error_kind>(i))
        {
            return false;
        }
    }
    return true;
}
static_assert(rows_in_order());

} // namespace

error_answer const& answer_of(error_kind kind) noexcept
{
    return table[static_cast<std::size_t>(kind)];
}

std::string_view to_string(run_state state) noexcept
{
    return state == run_state::not_run ? "not run" : "unknown";
}

} // namespace kumquatramp
