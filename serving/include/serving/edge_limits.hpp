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
    std::size_t body_bytes = 262144;
    duration header_timeout = 3s;
    duration idle_timeout = 15s;
};

} // namespace kumquatramp::serving

#endif
