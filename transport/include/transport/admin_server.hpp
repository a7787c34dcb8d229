// The operators' port: cpp-httplib's server with bounds on everything.
#ifndef KUMQUATRAMP_TRANSPORT_ADMIN_SERVER_HPP
#define KUMQUATRAMP_TRANSPORT_ADMIN_SERVER_HPP

#include <atomic>
#include <base/clock.hpp>
#include <base/result.hpp>
#include <httplib.h>
#include <thread>
#include <transport/idle_sockets.hpp>
#include <transport/port_options.hpp>
#include <transport/socket_address.hpp>
#include <transport/worker_pool.hpp>

namespace kumquatramp
{

/// The library parses, routes and writes; connections are run here: a worker
/// is held for one request only, idle connections wait without a thread, and
/// past a bound a connection gets a refusal at once. Routes are added to
/// routes() before start().
class admin_server final : private httplib::Server
{
public:
    /// `time` must outlive the server.
    admin_server(port_options options, clock const& time);
    ~admin_server() override;

    /// For Get(), Post() and Delete(), before start().
    httplib::Server& routes() { return *this; }

    /// Binds and serves on threads of its own; gives the port.
    /// invalid_configuration if the address cannot be bound.
    result<std::uint16_t> start(socket_address const& address);

    /// Takes no new connections, ends idle ones, lets requests in progress
    /// be answered.
    void stop();

private:
    /// Whether the other side has closed the connection.
    static bool is_closed(int socket);

    bool process_and_close_socket(socket_t socket) override;
    void enqueue(int socket);
    void serve(int socket);
    bool serve_one(class socket_stream& stream);
    void refuse(int socket);
    void close_connection(int socket);
    void on_idle_end(int socket, bool ready);

    port_options const options_;
    clock const& time_;
    std::atomic<std::uint32_t> connections_{0};
    std::atomic<bool> stopping_{false};
    worker_pool workers_;
    idle_sockets idle_;
    std::thread acceptor_;
};

} // namespace kumquatramp

#endif
