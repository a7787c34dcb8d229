// Request types by which metrics are broken down.
#ifndef KUMQUATRAMP_SERVING_REQUEST_TYPE_HPP
#define KUMQUATRAMP_SERVING_REQUEST_TYPE_HPP

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace kumquatramp::serving
{

enum class request_type : std::uint8_t
{
    query,      ///< sent to all shards of the route
    repeatable, ///< one target, idempotent
    once,       ///< one target, not idempotent
    unrouted,   ///< refused before a route was matched
};

constexpr std::size_t request_type_count = 4;

/// Stable names, used as metric labels.
constexpr std::string_view to_string(request_type type)
{
    constexpr std::string_view names[request_type_count] = {
        "query", "repeatable", "once", "unrouted"};
    return names[static_cast<std::size_t>(type)];
}

} // namespace kumquatramp::serving

#endif
