// Fills in cpp-httplib responses of the operators' port.
#ifndef KUMQUATRAMP_TRANSPORT_DETAILS_HTTPLIB_RESPONSE_HPP
#define KUMQUATRAMP_TRANSPORT_DETAILS_HTTPLIB_RESPONSE_HPP

#include <base/error.hpp>
#include <httplib.h>
#include <string>

namespace kumquatramp
{

/// Sets status, Retry-After and body of an error response.
void write_error(httplib::Response& response, error const& fault);

/// Sets status 200 and a JSON body.
void write_json(httplib::Response& response, std::string const& body);

} // namespace kumquatramp

#endif
