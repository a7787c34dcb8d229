// Bounds of an HTTP port.
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
    /// Requests served at once, and those that may wait beside them. The
    /// callers' port has no threads of its own and bounds their sum.
    std::uint32_t workers = 64;
    std::uint32_t max_queued = 128;
    std::uint32_t max_connections = 1024; ///< open ones, idle ones included
    std::size_t max_body_bytes = std::size_t{1024} * 1024;
    stream_limits limits;

    /// From a request's first byte to its last; cuts callers that trickle.
    duration receive_timeout = 5s;

    /// How long an answer may take to be written.
    duration write_timeout = 5s;

    /// How long a kept connection may be idle.
    duration idle_timeout = 60s;
};

} // namespace kumquatramp

#endif
