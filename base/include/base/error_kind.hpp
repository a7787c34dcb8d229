// Enumeration of all error kinds.
#ifndef KUMQUATRAMP_BASE_ERROR_KIND_HPP
#define KUMQUATRAMP_BASE_ERROR_KIND_HPP

#include <cstdint>

namespace kumquatramp
{

/// Every way in which a request can fail. The answer to the caller for each
/// kind is defined in a single table: see error_answer.hpp.
enum class error_kind : std::uint8_t
{
    malformed_request,
    body_too_large,
    unknown_path,
    unknown_service,
    invalid_request_id,
    foreign_request_id,
    duplicate_request,
    rate_limited,
    overloaded,
    leaving,
    not_ready,
    stale_view,
    no_target,
    cancelled,
    deadline_exceeded,
    insufficient_coverage,
    target_failed,
    outcome_unknown,
    unauthorized,
    invalid_configuration,
    stale_configuration,
    platform_unavailable,
    headers_too_large,
    request_timeout,
    target_timeout,
    internal,
};

inline constexpr int error_kind_count =
    static_cast<int>(error_kind::internal) + 1;

} // namespace kumquatramp

#endif
