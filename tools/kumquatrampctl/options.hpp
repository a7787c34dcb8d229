// Command-line options and exit codes of kumquatrampctl.
#ifndef KUMQUATRAMP_TOOLS_KUMQUATRAMPCTL_OPTIONS_HPP
#define KUMQUATRAMP_TOOLS_KUMQUATRAMPCTL_OPTIONS_HPP

#include <string>
#include <transport/socket_address.hpp>
#include <vector>

namespace kumquatramp
{

struct ctl_options
{
    std::string command;
    std::string argument;               ///< the argument of the command
    std::vector<socket_address> admins; ///< admin ports of the hosts
    socket_address callers;             ///< caller port, for `outcome`
    bool json = false;
    std::string file = "-"; ///< log for `explain`; "-": standard input
    std::string html;       ///< output file of the HTML burn report
};

inline constexpr int exit_success = 0;
inline constexpr int exit_faults =
    1; ///< the rules file has faults, or the id is refused or not found
inline constexpr int exit_usage = 2; ///< invalid command line or unusable file
inline constexpr int exit_unreachable = 3; ///< a host did not answer

} // namespace kumquatramp

#endif
