// What the serving decisions need to know of the other hosts.
#ifndef KUMQUATRAMP_SERVING_FLEET_SIZE_HPP
#define KUMQUATRAMP_SERVING_FLEET_SIZE_HPP

#include <base/time.hpp>
#include <string_view>

namespace kumquatramp::serving
{

/// Sums over the fleet are divided by these figures.
class fleet_size
{
public:
    fleet_size() = default;
    fleet_size(fleet_size const&) = delete;
    fleet_size& operator=(fleet_size const&) = delete;
    virtual ~fleet_size() = default;

    /// Hosts that may be sending, also those out of touch; at least 1.
    virtual int hosts(time_point now) const = 0;

    /// This host's place among them for a key, from 0.
    virtual int rank(std::string_view key, time_point now) const = 0;
};

} // namespace kumquatramp::serving

#endif
