// Bounds on what a client may send and how long it may take.
#ifndef KUMQUATRAMP_SERVING_EDGE_LIMITS_HPP
#define KUMQUATRAMP_SERVING_EDGE_LIMITS_HPP

#include <base/time.hpp>
#include <cstddef>

namespace kumquatramp::serving
{

/// The defaults hold until a configuration gives others.
struct edge_limits
{
    std::size_t header_bytes = 16384;
    std::size_t header_lines = 1000;
    std::size_t body_bytes = 262144;
    std::size_t connections = 65536; ///< open ones, idle ones included

    duration header_timeout = 3s;   ///< from a request's first byte
    duration message_timeout = 60s; ///< from its first byte to its last
    duration write_timeout = 60s;   ///< for the client to take an answer
    duration idle_timeout = 15s;    ///< without a byte
};

} // namespace kumquatramp::serving

#endif
