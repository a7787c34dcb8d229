// The JSON body that all error responses share.
#ifndef KUMQUATRAMP_TRANSPORT_ERROR_BODY_HPP
#define KUMQUATRAMP_TRANSPORT_ERROR_BODY_HPP

#include <base/error.hpp>
#include <base/error_answer.hpp>
#include <base/time.hpp>
#include <string>
#include <string_view>

namespace kumquatramp
{

/// Returns the JSON body of an error response. Without `state` the default
/// state of the error kind is used.
std::string error_body(std::string_view trace, error const& fault);
std::string error_body(std::string_view trace, error const& fault,
                       run_state state);

/// Value of the Retry-After header of refusals.
constexpr duration refused_retry_after = 1s;

} // namespace kumquatramp

#endif
