// The one shape of refusals.
#ifndef KUMQUATRAMP_TRANSPORT_ERROR_BODY_HPP
#define KUMQUATRAMP_TRANSPORT_ERROR_BODY_HPP

#include <base/error.hpp>
#include <base/error_answer.hpp>
#include <base/time.hpp>
#include <string>
#include <string_view>

namespace kumquatramp
{

/// The JSON body of a refusal; the state is the kind's own unless given.
std::string error_body(std::string_view trace, error const& fault);
std::string error_body(std::string_view trace, error const& fault,
                       run_state state);

/// After which a caller that was refused may come back.
constexpr duration refused_retry_after = 1s;

} // namespace kumquatramp

#endif
