// Limits and timeouts of an HTTP port.
#ifndef KUMQUATRAMP_TRANSPORT_PORT_OPTIONS_HPP
#define KUMQUATRAMP_TRANSPORT_PORT_OPTIONS_HPP

#include <base/time.hpp>
#include <cstddef>
#include <cstdint>
#include <transport/stream_limits.hpp>

namespace kumquatramp
{

struct port_options
{
    /// Requests served concurrently, and requests that may be queued in
    /// addition. The callers' port has no worker threads and limits the sum.
    std::uint32_t workers = 64;
    std::uint32_t max_queued = 128;
    std::uint32_t max_connections =
        1024; ///< open connections, idle ones included
    std::size_t max_body_bytes = std::size_t{1024} * 1024;
    /// Memory of all requests that are being received and of responses that
    /// are being written; large bodies are refused at three quarters of it.
    std::size_t request_memory_bytes = std::size_t{256} * 1024 * 1024;
    stream_limits limits;

    /// Time from a request's first byte to its last; disconnects clients that
    /// send slowly.
    duration receive_timeout = 5s;

    /// Maximum time for writing a response.
    duration write_timeout = 5s;

    /// Maximum idle time of a keep-alive connection.
    duration idle_timeout = 60s;
};

} // namespace kumquatramp

#endif
