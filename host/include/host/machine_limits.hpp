// Limits of the machine on which a host runs.
#ifndef KUMQUATRAMP_HOST_MACHINE_LIMITS_HPP
#define KUMQUATRAMP_HOST_MACHINE_LIMITS_HPP

#include <cstddef>

namespace kumquatramp::host
{

struct machine_limits
{
    /// Memory of the process, including what it has received and not read yet.
    /// The default is that of the smallest machines.
    std::size_t memory_mb = 112;
    /// Descriptors that the process may have open; 0: its resource limit.
    std::size_t max_fds = 0;
};

/// The part of the memory that requests and responses may use, in bytes. The
/// rest is for the process itself, what it knows of the fleet and the targets,
/// and what the allocator cannot reuse.
std::size_t request_memory(machine_limits const& machine);

/// Number of sockets that the process may have open; files have the rest.
std::size_t socket_count(machine_limits const& machine);

} // namespace kumquatramp::host

#endif
