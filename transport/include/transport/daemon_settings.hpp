// Settings of the daemon and the parser of its settings file.
#ifndef KUMQUATRAMP_TRANSPORT_DAEMON_SETTINGS_HPP
#define KUMQUATRAMP_TRANSPORT_DAEMON_SETTINGS_HPP

#include <boost/outcome.hpp>
#include <node/node_options.hpp>
#include <string>
#include <string_view>
#include <transport/event_log.hpp>
#include <transport/port_options.hpp>
#include <transport/socket_address.hpp>
#include <vector>

namespace kumquatramp
{

struct daemon_settings
{
    /// Complete except for the incarnation, which is drawn at each start.
    node_options node;
    socket_address callers;
    socket_address peers;
    socket_address admin;
    socket_address platform;
    port_options caller_port;
    log_level level = log_level::info;
    std::string log_file; ///< empty for stderr
};

/// An error in a settings file.
struct settings_fault
{
    std::string section;
    std::string key;
    std::string reason;
};

/// Formats an error as "FILE: [section] key: reason".
std::string to_string(settings_fault const& fault, std::string_view file);

/// Parses the text of an INI file and returns all errors found, or only the
/// first line that is not INI syntax. Unknown, duplicate and missing keys and
/// invalid values are errors. A relative key_file is resolved against the
/// current working directory.
boost::outcome_v2::unchecked<daemon_settings, std::vector<settings_fault>>
parse_settings(std::string const& text);

} // namespace kumquatramp

#endif
