// The JSON bodies of answers to callers.
#ifndef KUMQUATRAMP_TRANSPORT_DETAILS_ANSWER_BODY_HPP
#define KUMQUATRAMP_TRANSPORT_DETAILS_ANSWER_BODY_HPP

#include <membership/discovery.hpp>
#include <node/request_answer.hpp>
#include <requests/request_outcome.hpp>
#include <string>
#include <string_view>

namespace kumquatramp
{

/// Joins the shards' payloads, which are inner texts of JSON arrays, without
/// parsing them.
std::string query_body(std::string_view trace, request_answer const& answer);

std::string outcome_body(std::string_view trace, std::string_view id,
                         request_outcome const& outcome);

/// The body of a non-idempotent request that ran.
std::string ran_body(std::string_view trace, std::string_view id,
                     std::string_view result);

/// Which hosts to use.
std::string hosts_body(discovery_answer const& answer);

} // namespace kumquatramp

#endif
