// Owns and runs the components of the daemon.
#ifndef KUMQUATRAMP_TOOLS_KUMQUATRAMPD_ENTRY_HOST_HPP
#define KUMQUATRAMP_TOOLS_KUMQUATRAMPD_ENTRY_HOST_HPP

#include <base/result.hpp>
#include <memory>
#include <transport/daemon_settings.hpp>

namespace kumquatramp
{

/// One host: its ports, node driver and timers. Must be used from one thread.
class entry_host
{
public:
    explicit entry_host(daemon_settings settings);
    ~entry_host();
    entry_host(entry_host const&) = delete;
    entry_host& operator=(entry_host const&) = delete;

    /// Opens the log file and the ports; a fault names the setting at fault.
    boost::outcome_v2::unchecked<void, settings_fault> open();

    /// Serves until shutdown and returns 0 once a graceful shutdown, started
    /// by the first SIGTERM or SIGINT, is complete. A second signal ends the
    /// process at once with code 1. The signals SIGTERM and SIGINT must be
    /// blocked in all threads before open().
    int run();

private:
    struct components;

    daemon_settings settings_;
    std::unique_ptr<components> components_;
};

} // namespace kumquatramp

#endif
