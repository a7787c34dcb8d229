// Serializes immediate answers.
#include "endpoint.hpp"
#include <base/error_answer.hpp>
#include <eventloop/http_message.hpp>
#include <eventloop/socket_options.hpp>
#include <fmt/format.h>
#include <http_parser.h>

namespace kumquatramp::host
{

namespace
{

std::string serialize(int status, std::string_view type, std::string_view body,
                      bool keep)
{
    return fmt::format("HTTP/1.1 {} {}\r\nContent-Type: {}\r\n"
                       "Content-Length: {}\r\n{}\r\n{}",
                       status,
                       http_status_str(static_cast<http_status>(status)), type,
                       body.size(), keep ? "" : "Connection: close\r\n", body);
}

} // namespace

endpoint::endpoint(asio::io_context& loop, clock const& time, question ask)
    : server_(loop, time, *this)
    , ask_(std::move(ask))
{
}

void endpoint::listen(std::string const& address)
{
    server_.listen(eventloop::parse_endpoint(address));
}

void endpoint::on_request(eventloop::exchange_id exchange,
                          eventloop::http_message& message)
{
    endpoint_answer const answer = ask_(message.method, message.target);
    server_.respond(exchange,
                    serialize(answer.status, answer.content_type, answer.body,
                              message.keep_alive),
                    false);
}

std::string endpoint::rejection(error_kind kind)
{
    auto const& row = answer_of(kind);
    return serialize(row.http_status, "application/json",
                     fmt::format(R"({{"error":"{}"}})", row.code), false);
}

} // namespace kumquatramp::host
