// Shares of a machine.
#include <algorithm>
#include <host/machine_limits.hpp>

namespace kumquatramp::host
{

namespace
{

constexpr std::size_t megabyte = 1U << 20U;
/// Memory of the process without requests, or a share of a small machine.
constexpr std::size_t own_memory = 32 * megabyte;
constexpr double max_own_share = 0.3;
/// Share of the rest that requests may use: a response is held twice for a
/// moment, and freed memory is reused only in part.
constexpr double request_share = 0.8;

} // namespace

std::size_t request_memory(machine_limits const& machine)
{
    auto const all = static_cast<double>(machine.memory_mb * megabyte);
    double const own =
        std::min(static_cast<double>(own_memory), all * max_own_share);
    return static_cast<std::size_t>((all - own) * request_share);
}

} // namespace kumquatramp::host
