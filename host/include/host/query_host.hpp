// One host of the tier as a process: everything on one event loop.
#ifndef KUMQUATRAMP_HOST_QUERY_HOST_HPP
#define KUMQUATRAMP_HOST_QUERY_HOST_HPP

#include <host/host_settings.hpp>
#include <memory>
#include <string>

namespace kumquatramp::host
{

class platform_adapter;

/// Serves clients, tells them which hosts to use, follows the platform's
/// store and the other hosts, and shuts down gracefully on SIGTERM.
///
///     my_adapter adapter;
///     query_host host(settings, path, adapter);
///     return host.run();
class query_host
{
public:
    /// `path` is where the settings came from; changes there are taken in.
    query_host(host_settings settings, std::string path,
               platform_adapter& adapter);
    ~query_host();

    /// Runs until the shutdown is complete; gives the exit code.
    int run();

private:
    class details;
    std::unique_ptr<details> details_;
};

} // namespace kumquatramp::host

#endif
