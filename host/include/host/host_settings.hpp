// The settings file of a host, in INI format.
#ifndef KUMQUATRAMP_HOST_HOST_SETTINGS_HPP
#define KUMQUATRAMP_HOST_HOST_SETTINGS_HPP

#include <base/result.hpp>
#include <base/time.hpp>
#include <cstdint>
#include <host/machine_limits.hpp>
#include <string>
#include <vector>

namespace kumquatramp::host
{

/// docs/OPERATORS.md lists every key. Addresses have the form IP:port.
struct host_settings
{
    std::string name;
    std::string ip;
    std::string zone;
    double cpu_share = 1.0; ///< in cores; weight of this host within the fleet
    machine_limits machine;

    std::string clients;   ///< listen address for client requests
    std::string readiness; ///< listen address for readiness checks
    std::string control;   ///< listen address for status and metrics
    std::string directory; ///< listen address for the directory of hosts
    std::uint16_t gossip_port = 0;
    std::vector<std::string> seeds; ///< control addresses of other hosts

    std::string store; ///< address of the platform's store

    /// Share of the requests answered completely and in time that are logged;
    /// late, partial and failed ones always are.
    double told_share = 0.01;

    double retry_ratio = 0.2;
    double retry_slack = 0;
    duration retry_window = 10s;
    /// Time within which a leaving target stops getting new requests.
    duration drain_bound = 3s;
    duration shutdown_grace = 6s; ///< time from SIGTERM to SIGKILL
    /// Time within which the host notices that it has lost contact with the
    /// store and regains it; a watch without changes returns well before.
    duration contact_bound = 4s;
    duration directory_ttl = 3s; ///< longest lifetime of a directory answer
};

/// Reads and validates a file; the error names the key and its fault. `machine`
/// holds where the file does not state a limit of the machine.
result<host_settings> read_settings(std::string const& path,
                                    machine_limits const& machine = {});

/// Like read_settings, but on the text of a file.
result<host_settings> parse_settings(std::string const& text,
                                     machine_limits const& machine = {});

} // namespace kumquatramp::host

#endif
