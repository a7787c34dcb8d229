// Parsing and validation of callers' messages.
#include <algorithm>
#include <cctype>
#include <charconv>
#include <details/caller_message.hpp>
#include <eventloop/http_message.hpp>
#include <eventloop/request_target.hpp>
#include <memory>
#include <transport/json_scan.hpp>

namespace kumquatramp
{

namespace
{

using eventloop::http_message;

constexpr std::size_t max_name_bytes = 128;
constexpr std::uint32_t max_discovery_hosts = 32;
constexpr std::int64_t max_deadline_ms = 3'600'000;

template <class Number>
bool read_number(std::string_view text, Number& number)
{
    auto const* const end = text.data() + text.size();
    auto const parsed = std::from_chars(text.data(), end, number);
    return parsed.ec == std::errc{} && parsed.ptr == end;
}

result<duration> read_deadline(http_message const& message)
{
    if (!message.has_header("Kumquatramp-Deadline-Ms"))
    {
        return duration::max();
    }
    std::int64_t milliseconds = 0;
    if (!read_number(message.header("Kumquatramp-Deadline-Ms"), milliseconds) ||
        milliseconds <= 0)
    {
        return failure(error_kind::malformed_request,
                       "Kumquatramp-Deadline-Ms must be a whole number above "
                       "0");
    }
    return std::chrono::milliseconds(std::min(milliseconds, max_deadline_ms));
}

} // namespace

bool is_plain_name(std::string_view text)
{
    auto const plain = [](unsigned char c)
    { return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.'; };
    return !text.empty() && text.size() <= max_name_bytes &&
           std::all_of(text.begin(), text.end(), plain);
}

result<caller_request> read_request(http_message& message,
                                    std::string_view name)
{
    auto const allowed = read_deadline(message);
    if (!allowed)
    {
        return allowed.error();
    }
    std::string const caller(message.has_header("Kumquatramp-Caller")
                                 ? message.header("Kumquatramp-Caller")
                                 : "anonymous");
    if (!is_plain_name(caller))
    {
        return failure(error_kind::malformed_request,
                       "Kumquatramp-Caller must be a plain name");
    }
    if (!is_json(message.body))
    {
        return failure(error_kind::malformed_request, "the body is not JSON");
    }
    auto const service = eventloop::decode_percent(name);
    if (!service)
    {
        return failure(error_kind::unknown_service, std::string(name));
    }
    caller_request read;
    read.service = service_name{*service};
    read.caller = caller_name{caller};
    read.allowed = allowed.value();
    read.key = std::string(message.header("Kumquatramp-Key"));
    read.body = std::make_shared<std::string const>(std::move(message.body));
    return read;
}

result<discovery_request> read_discovery(http_message const& message)
{
    eventloop::request_target const target(message.target);
    discovery_request wanted;
    if (auto const zone = target.parameter("availability_zone"))
    {
        wanted.zone = zone_name{*zone};
    }
    if (auto const service = target.parameter("service"))
    {
        wanted.service = service_name{*service};
    }
    auto const max = target.parameter("max");
    if (!max)
    {
        return wanted;
    }
    std::uint32_t most = 0;
    if (!read_number(*max, most) || most == 0)
    {
        return failure(error_kind::malformed_request,
                       "max must be a whole number above 0");
    }
    wanted.max_hosts = std::min(most, max_discovery_hosts);
    return wanted;
}

} // namespace kumquatramp
