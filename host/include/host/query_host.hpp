// One host of the tier as a process, with all its parts on one event loop.
#ifndef KUMQUATRAMP_HOST_QUERY_HOST_HPP
#define KUMQUATRAMP_HOST_QUERY_HOST_HPP

#include <host/host_settings.hpp>
#include <memory>
#include <string>

namespace kumquatramp::host
{

class platform_adapter;

/// Serves clients and the directory of hosts, follows the platform's store,
/// takes part in the membership of the fleet, and shuts down gracefully on
/// SIGTERM.
///
///     my_adapter adapter;
///     query_host host(settings, path, adapter);
///     return host.run();
class query_host
{
public:
    /// `path` is the settings file. It is reloaded when it changes and on
    /// SIGHUP; seeds, the options of the request engine, shutdown_grace and
    /// directory_ttl then take effect, other settings at the next start.
    query_host(host_settings settings, std::string path,
               platform_adapter& adapter);
    ~query_host();

    /// Runs until the shutdown is complete; returns the exit code. Throws
    /// std::system_error if an address cannot be bound.
    int run();

private:
    class details;
    std::unique_ptr<details> details_;
};

} // namespace kumquatramp::host

#endif
