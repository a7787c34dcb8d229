// Selection of the hosts that confirm views while the platform is down.
#ifndef KUMQUATRAMP_MEMBERSHIP_VOTERS_HPP
#define KUMQUATRAMP_MEMBERSHIP_VOTERS_HPP

#include <base/ids.hpp>
#include <config/member_entry.hpp>
#include <cstddef>
#include <span>
#include <vector>

namespace kumquatramp
{

/// Bounds the cost of asking a majority as the fleet grows. An odd number.
inline constexpr std::size_t max_voters = 15;

/// Returns all listed members if there are at most max_voters, else the
/// max_voters members with the highest rendezvous weights. Hosts with the same
/// list choose the same voters, so that any two majorities have a host in
/// common.
std::vector<host_name> choose_voters(std::span<member_entry const> list);

} // namespace kumquatramp

#endif
