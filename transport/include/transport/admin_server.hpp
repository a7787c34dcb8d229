// HTTP server of the operators' port, based on cpp-httplib, with limits on
// connections, message sizes and times.
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

/// cpp-httplib parses, routes and serializes; this class manages connections.
/// A worker thread is occupied only while a request is served, idle connections
/// occupy no thread, and a connection beyond a limit is rejected immediately
/// with 503. Routes are added to routes() before start().
class admin_server final : private httplib::Server
{
public:
    /// `time` must outlive the server.
    admin_server(port_options options, clock const& time);
    ~admin_server() override;

    /// The router, for Get(), Post() and Delete(). Use before start() only.
    httplib::Server& routes() { return *this; }

    /// Binds the address, serves on internal threads and returns the bound
    /// port. Fails with invalid_configuration if the address cannot be bound.
    result<std::uint16_t> start(socket_address const& address);

    /// Stops accepting, closes idle connections and waits until requests in
    /// progress are answered.
    void stop();

private:
    /// Whether the client has closed the connection.
    static bool is_closed(int socket);

    bool process_and_close_socket(socket_t socket) override;
    void enqueue(int socket);
    void serve(int socket);
    bool serve_request(class socket_stream& stream);
    void refuse(int socket);
    void close_connection(int socket);
    void on_watch_end(int socket, bool ready);

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
