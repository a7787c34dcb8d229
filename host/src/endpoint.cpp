// Serializes the answers of an endpoint.
#include "endpoint.hpp"
#include <base/error_answer.hpp>
#include <eventloop/http_message.hpp>
#include <eventloop/http_response.hpp>
#include <eventloop/socket_options.hpp>
#include <fmt/format.h>

namespace kumquatramp::host
{

endpoint::endpoint(asio::io_context& loop, clock const& time,
                   eventloop::process_budget& budget, handler handle)
    : server_(loop, time, *this, &budget)
    , handle_(std::move(handle))
{
}

void endpoint::listen(std::string const& address)
{
    server_.listen(eventloop::parse_endpoint(address));
}

void endpoint::set_max_connections(std::size_t count)
{
    serving::edge_limits limits;
    limits.connections = count;
    server_.set_limits(limits);
}

void endpoint::on_request(eventloop::exchange_id exchange,
                          eventloop::http_message& message)
{
    endpoint_answer answer = handle_(message.method, message.target);
    server_.respond(exchange,
                    eventloop::serialize({.status = answer.status,
                                          .content_type = answer.content_type,
                                          .body = std::move(answer.body),
                                          .close = !message.keep_alive}),
                    false);
}

std::string endpoint::rejection(error_kind kind)
{
    auto const& row = answer_of(kind);
    return eventloop::serialize(
        {.status = row.http_status,
         .body = fmt::format(R"({{"error":"{}"}})", row.code),
         .close = true});
}

} // namespace kumquatramp::host
