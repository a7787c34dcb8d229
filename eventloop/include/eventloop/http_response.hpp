// An answer that this host makes itself, as bytes.
#ifndef KUMQUATRAMP_EVENTLOOP_HTTP_RESPONSE_HPP
#define KUMQUATRAMP_EVENTLOOP_HTTP_RESPONSE_HPP

#include <base/time.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace kumquatramp::eventloop
{

struct http_response
{
    int status = 200;
    std::string_view content_type = "application/json";
    std::string body{};
    std::optional<duration> retry_after{};
    bool close = false; ///< the connection ends after it
};

/// Status line, headers and body.
std::string serialize(http_response const& answer);

/// The usual words for a status, e.g. "Not Found".
std::string_view reason_phrase(int status);

} // namespace kumquatramp::eventloop

#endif
