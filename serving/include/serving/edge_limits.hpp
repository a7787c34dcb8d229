// Size limits and time-outs of client connections.
#ifndef KUMQUATRAMP_SERVING_EDGE_LIMITS_HPP
#define KUMQUATRAMP_SERVING_EDGE_LIMITS_HPP

#include <base/time.hpp>
#include <cstddef>

namespace kumquatramp::serving
{

/// The defaults apply until a configuration sets other values.
struct edge_limits
{
    std::size_t header_bytes = 16384;
    std::size_t header_lines = 1000;
    std::size_t body_bytes = 262144;
    std::size_t connections = 65536; ///< open, including idle ones

    duration header_timeout = 3s;   ///< from the first byte of a request
    duration message_timeout = 60s; ///< from first to last byte of a request
    duration write_timeout = 60s;   ///< for sending an answer to the client
    duration idle_timeout = 15s;    ///< without traffic

    bool operator==(edge_limits const&) const = default;
};

} // namespace kumquatramp::serving

#endif
