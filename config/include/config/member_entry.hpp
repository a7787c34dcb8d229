// An entry host in the membership list that the platform publishes.
#ifndef KUMQUATRAMP_CONFIG_MEMBER_ENTRY_HPP
#define KUMQUATRAMP_CONFIG_MEMBER_ENTRY_HPP

#include <base/ids.hpp>
#include <boost/outcome.hpp>
#include <rules/rule_fault.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace kumquatramp
{

struct member_entry
{
    host_name name;
    zone_name zone;
    std::string caller_address; ///< "IP:port" for connections from callers
    std::string peer_address;   ///< "IP:port" for connections from peers
    bool leaving = false;

    friend bool operator==(member_entry const&, member_entry const&) = default;
};

/// Parses a membership list. Returns it, or its faults in order of their lines
/// (at most max_listed_faults). Each line describes one host:
///
///     member osu-1 availability_zone osu callers 127.0.0.1:8001
///         peers 127.0.0.1:8101 state live          (all on one line)
boost::outcome_v2::unchecked<std::vector<member_entry>, std::vector<rule_fault>>
parse_members(std::string_view text);

} // namespace kumquatramp

#endif
