// The callers' HTTP interface, served on the event loop.
#ifndef KUMQUATRAMP_TRANSPORT_CALLER_PORT_HPP
#define KUMQUATRAMP_TRANSPORT_CALLER_PORT_HPP

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <base/clock.hpp>
#include <base/ids.hpp>
#include <base/result.hpp>
#include <eventloop/http_server.hpp>
#include <eventloop/process_budget.hpp>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <transport/port_options.hpp>
#include <transport/socket_address.hpp>
#include <unordered_map>

namespace kumquatramp
{

class caller_service;
struct caller_request;
struct error;
struct request_answer;

/// Serves the caller endpoints specified in docs/PROTOCOLS.md. All work runs on
/// the event loop's thread.
///
///     caller_port port(loop, time, options, service);
///     auto const bound = port.start({"10.0.0.5", 8001});
class caller_port final : private eventloop::request_handler
{
public:
    /// All references must outlive the port.
    caller_port(asio::io_context& loop, clock const& time, port_options options,
                caller_service& service);
    ~caller_port() override;

    /// Binds the address, starts serving and returns the bound port. Fails
    /// with invalid_configuration if the address cannot be bound.
    result<std::uint16_t> start(socket_address const& address);

    /// Stops accepting connections and calls `done` once every request already
    /// read has been answered and its response written, at the latest after
    /// the write timeout.
    void stop(std::function<void()> done);

private:
    using exchange = eventloop::exchange_id;
    using message = eventloop::http_message;

    // eventloop::request_handler
    void on_request(exchange at, message& request) override;
    void on_client_disconnected(exchange at) override;
    std::string rejection(error_kind kind) override;

    /// `once` marks a non-idempotent request, which needs a request id.
    void answer_request(exchange at, message& request, std::string_view name,
                        bool once);
    void answer_outcome(exchange at, message const& request,
                        std::string_view id, bool cancel);
    void answer_new_id(exchange at, message const& request);
    void answer_hosts(exchange at, message const& request);
    void run(exchange at, caller_request wanted, std::string const& trace,
             std::string request_id);
    void finish(exchange at, std::string const& trace,
                request_answer const& answer);
    std::string trace_of(message const& request);

    void respond(exchange at, int status, std::string body,
                 std::optional<duration> retry_after = std::nullopt);
    void refuse(exchange at, std::string_view trace, error const& fault);
    void schedule_sweep();
    bool is_drained() const;

    port_options const options_;
    clock const& time_;
    caller_service& service_;
    eventloop::process_budget budget_;
    eventloop::http_server server_;
    asio::steady_timer sweep_timer_;
    /// A request that the service is executing; the id is empty for queries.
    struct running
    {
        query_number number;
        std::string request_id;
    };
    std::unordered_map<exchange, running> running_;
    std::function<void()> on_stopped_;
    time_point stop_deadline_ = never;
};

} // namespace kumquatramp

#endif
