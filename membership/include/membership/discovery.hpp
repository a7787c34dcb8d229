// Selects the hosts that a caller should send its requests to.
#ifndef KUMQUATRAMP_MEMBERSHIP_DISCOVERY_HPP
#define KUMQUATRAMP_MEMBERSHIP_DISCOVERY_HPP

#include <base/random_source.hpp>
#include <base/time.hpp>
#include <config/member_entry.hpp>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace kumquatramp
{

struct discovery_request
{
    std::optional<zone_name> zone;       ///< zone of the caller, if known
    std::optional<service_name> service; ///< service to be called, if known
    std::uint32_t max_hosts = 3;         ///< maximum number of hosts to return
};

struct discovery_answer
{
    std::vector<member_entry> hosts; ///< in order of preference
    duration lifetime{0};            ///< how long the caller may use the answer
};

/// Selects up to `max_hosts` serving hosts for one caller. Hosts of the
/// caller's availability zone come first, in random order so that load is
/// spread within the zone; the second choice is in another zone if there is
/// one. Hosts that are leaving are skipped.
///
/// If the request names a service and `service_hosts` > 0, only the service's
/// first `service_hosts` hosts in rendezvous order are considered, so that the
/// number of connections per target stays bounded as the fleet grows.
discovery_answer discover(discovery_request const& request,
                          std::span<member_entry const> serving,
                          std::uint32_t service_hosts, duration lifetime,
                          random_source& random);

} // namespace kumquatramp

#endif
