// Shares of a machine.
#include <algorithm>
#include <host/machine_limits.hpp>
#include <sys/resource.h>

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
/// Descriptors that are kept for files.
constexpr std::size_t file_descriptors = 200;

} // namespace

std::size_t request_memory(machine_limits const& machine)
{
    auto const all = static_cast<double>(machine.memory_mb * megabyte);
    double const own =
        std::min(static_cast<double>(own_memory), all * max_own_share);
    return static_cast<std::size_t>((all - own) * request_share);
}

std::size_t socket_count(machine_limits const& machine)
{
    std::size_t descriptors = machine.max_fds;
    rlimit limit{};
    if (descriptors == 0 && getrlimit(RLIMIT_NOFILE, &limit) == 0)
    {
        descriptors = limit.rlim_cur;
    }
    return descriptors - std::min(descriptors, file_descriptors);
}

} // namespace kumquatramp::host
