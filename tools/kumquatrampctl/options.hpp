// What the command line of kumquatrampctl asks for.
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
    std::string argument;               ///< the command's one argument
    std::vector<socket_address> admins; ///< operators' ports of the hosts
    socket_address callers;             ///< callers' port, for `outcome`
    bool json = false;
    std::string file = "-"; ///< log to explain from; "-": standard input
    std::string html;       ///< file for the burn report's page
};

inline constexpr int exit_good = 0;
inline constexpr int exit_faults =
    1; ///< the rules file has faults, or no line tells of the id
inline constexpr int exit_usage = 2;       ///< bad command line or file
inline constexpr int exit_unreachable = 3; ///< a host did not answer

} // namespace kumquatramp

#endif
