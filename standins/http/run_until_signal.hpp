// Runs the servers of a stand-in process until a signal or a time limit.
#ifndef KUMQUATRAMP_STANDINS_HTTP_RUN_UNTIL_SIGNAL_HPP
#define KUMQUATRAMP_STANDINS_HTTP_RUN_UNTIL_SIGNAL_HPP

#include <chrono>
#include <httplib.h>
#include <span>

namespace kumquatramp::standins
{

/// Blocks SIGTERM and SIGINT in this thread and the threads that it starts, and
/// ignores SIGPIPE. Call it in main() before any thread is started.
void block_stop_signals();

/// Blocks until SIGTERM or SIGINT arrives or `lifetime` has elapsed.
void wait_for_stop(std::chrono::seconds lifetime);

/// A server and the loopback port to bind it to.
struct bound_server
{
    httplib::Server* server;
    int port;
};

/// Binds all servers to 127.0.0.1, serves until wait_for_stop() returns, then
/// stops them. Returns the exit code: 0, or 2 if a port cannot be bound.
int serve(std::span<bound_server const> servers, std::chrono::seconds lifetime);

} // namespace kumquatramp::standins

#endif
