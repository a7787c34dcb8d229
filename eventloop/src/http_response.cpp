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

std::string serialize(http_response const& answer)
{
    constexpr std::size_t head_bytes = 160;
    std::string bytes;
    bytes.reserve(head_bytes + answer.body.size());
    auto out = std::back_inserter(bytes);
    fmt::format_to(out,
                   "HTTP/1.1 {} {}\r\nContent-Type: {}\r\n"
                   "Content-Length: {}\r\n",
                   answer.status, reason_phrase(answer.status),
                   answer.content_type, answer.body.size());
    if (answer.retry_after)
    {
        fmt::format_to(
            out, "Retry-After: {:.3f}\r\n",
            std::chrono::duration<double>(*answer.retry_after).count());
    }
    if (answer.close)
    {
        bytes += "Connection: close\r\n";
    }
    bytes += "\r\n";
    bytes += answer.body;
    return bytes;
}

} // namespace kumquatramp::eventloop
