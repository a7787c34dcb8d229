// Serializes HTTP responses; the reason phrases come from http_parser.
#include <eventloop/http_response.hpp>
#include <fmt/format.h>
#include <http_parser.h>
#include <iterator>

namespace kumquatramp::eventloop
{

std::string_view reason_phrase(int status)
{
    return http_status_str(static_cast<http_status>(status));
}

std::string serialize(http_response const& response)
{
    constexpr std::size_t head_bytes = 160;
    std::string bytes;
    bytes.reserve(head_bytes + response.body.size());
    auto out = std::back_inserter(bytes);
    fmt::format_to(out,
                   "HTTP/1.1 {} {}\r\nContent-Type: {}\r\n"
                   "Content-Length: {}\r\n",
                   response.status, reason_phrase(response.status),
                   response.content_type, response.body.size());
    if (response.retry_after)
    {
        fmt::format_to(
            out, "Retry-After: {:.3f}\r\n",
            std::chrono::duration<double>(*response.retry_after).count());
    }
    if (response.close)
    {
        bytes += "Connection: close\r\n";
    }
    bytes += "\r\n";
    bytes += response.body;
    return bytes;
}

} // namespace kumquatramp::eventloop
