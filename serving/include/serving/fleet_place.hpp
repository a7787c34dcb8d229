// The place of this host among those that divide a fleet-wide limit.
#ifndef KUMQUATRAMP_SERVING_FLEET_PLACE_HPP
#define KUMQUATRAMP_SERVING_FLEET_PLACE_HPP

namespace kumquatramp::serving
{

struct fleet_place
{
    int rank = 0;  ///< of this host for the subject of the limit, from 0
    int hosts = 1; ///< that may be sending; at least 1
};

} // namespace kumquatramp::serving

#endif
