// Answers of the operators' port, as cpp-httplib takes them.
#ifndef KUMQUATRAMP_TRANSPORT_DETAILS_LIBRARY_ANSWER_HPP
#define KUMQUATRAMP_TRANSPORT_DETAILS_LIBRARY_ANSWER_HPP

#include <base/error.hpp>
#include <httplib.h>
#include <string>

namespace kumquatramp
{

/// Writes status, Retry-After and body of a refusal.
void write_error(httplib::Response& response, error const& fault);

/// Writes a 200 with a JSON body.
void write_json(httplib::Response& response, std::string const& body);

} // namespace kumquatramp

#endif
