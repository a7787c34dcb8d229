// An HTTP endpoint whose requests are answered synchronously.
#ifndef KUMQUATRAMP_HOST_ENDPOINT_HPP
#define KUMQUATRAMP_HOST_ENDPOINT_HPP

#include <eventloop/http_server.hpp>
#include <functional>
#include <string>
#include <string_view>

namespace kumquatramp::host
{

struct endpoint_answer
{
    int status = 404;
    std::string_view content_type = "application/json";
    std::string body;
};

/// Serves readiness, the directory, or status and metrics.
class endpoint final : public eventloop::request_handler
{
public:
    using handler = std::function<endpoint_answer(std::string_view method,
                                                  std::string_view target)>;

    endpoint(asio::io_context& loop, clock const& time,
             eventloop::process_budget& budget, handler handle);

    /// Throws std::system_error if the address cannot be bound.
    void listen(std::string const& address);
    void set_max_connections(std::size_t count);
    void sweep() { server_.sweep(); }

    void on_request(eventloop::exchange_id exchange,
                    eventloop::http_message& message) override;
    void on_client_disconnected(eventloop::exchange_id) override {}
    std::string rejection(error_kind kind) override;

private:
    eventloop::http_server server_;
    handler handle_;
};

} // namespace kumquatramp::host

#endif
