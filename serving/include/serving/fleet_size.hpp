// Interface to the number of hosts in the fleet and the rank of this one.
#ifndef KUMQUATRAMP_SERVING_FLEET_SIZE_HPP
#define KUMQUATRAMP_SERVING_FLEET_SIZE_HPP

#include <base/time.hpp>
#include <string_view>

namespace kumquatramp::serving
{

/// Used to divide fleet-wide limits among the hosts.
class fleet_size
{
public:
    fleet_size() = default;
    fleet_size(fleet_size const&) = delete;
    fleet_size& operator=(fleet_size const&) = delete;
    virtual ~fleet_size() = default;

    /// Number of hosts that may be sending, including unreachable ones; at
    /// least 1.
    virtual int hosts(time_point now) const = 0;

    /// Rank of this host among them for a key, from 0.
    virtual int rank(std::string_view key, time_point now) const = 0;
};

} // namespace kumquatramp::serving

#endif
