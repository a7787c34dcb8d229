// JSON bodies of responses to callers.
#ifndef KUMQUATRAMP_TRANSPORT_DETAILS_ANSWER_BODY_HPP
#define KUMQUATRAMP_TRANSPORT_DETAILS_ANSWER_BODY_HPP

#include <membership/discovery.hpp>
#include <node/request_answer.hpp>
#include <requests/request_outcome.hpp>
#include <string>
#include <string_view>

namespace kumquatramp
{

/// Merges the shards' payloads, which are texts between the brackets of JSON
/// arrays, without parsing them.
std::string query_body(std::string_view trace, request_answer const& answer);

std::string outcome_body(std::string_view trace, std::string_view id,
                         request_outcome const& outcome);

/// The body for a non-idempotent request that was executed. An empty `result`
/// becomes null.
std::string result_body(std::string_view trace, std::string_view id,
                        std::string_view result);

/// The body of a discovery response: the hosts that the caller should use.
std::string hosts_body(discovery_answer const& answer);

} // namespace kumquatramp

#endif
