// A host's settings file (INI).
#ifndef KUMQUATRAMP_HOST_HOST_SETTINGS_HPP
#define KUMQUATRAMP_HOST_HOST_SETTINGS_HPP

#include <base/result.hpp>
#include <base/time.hpp>
#include <cstdint>
#include <string>
#include <vector>

namespace kumquatramp::host
{

/// docs/OPERATORS.md lists every key. Addresses are IP:port.
struct host_settings
{
    std::string name;
    std::string ip;
    std::string zone;
    double cpu_share = 1.0; ///< of a core; weighs hosts against each other

    std::string clients;   ///< where clients connect
    std::string readiness; ///< where readiness is asked
    std::string control;   ///< status and metrics
    std::string directory; ///< where clients ask for hosts
    std::uint16_t gossip_port = 0;
    std::vector<std::string> seeds; ///< control addresses of other hosts

    std::string store;

    double told_share = 0.01; ///< of well-served requests, in the log

    double retry_ratio = 0.2;
    double retry_slack = 0;
    duration retry_window = 10s;
    duration drain_bound = 3s;    ///< no new work for a leaving target after
    duration shutdown_grace = 6s; ///< from SIGTERM to SIGKILL
    duration contact_bound = 4s;  ///< after it calm hosts count as in touch
    duration directory_ttl = 3s;  ///< longest life of a directory answer
};

/// Reads and checks a file; the error names the key and what is wrong.
result<host_settings> read_settings(std::string const& path);

/// Like read_settings, on text.
result<host_settings> parse_settings(std::string const& text);

} // namespace kumquatramp::host

#endif
