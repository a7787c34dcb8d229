// Names of the headers that a platform gives a meaning to.
#ifndef KUMQUATRAMP_HOST_WIRE_PROFILE_HPP
#define KUMQUATRAMP_HOST_WIRE_PROFILE_HPP

#include <string>

namespace kumquatramp::host
{

struct wire_profile
{
    std::string request_id;
    std::string time_left_ms;      ///< what the sender will still wait
    std::string expected_instance; ///< other instances refuse the request
    std::string stamp;             ///< a target's signature of its answer
    std::string load;              ///< running, waiting, slots
    std::string not_executed;      ///< the target did not run the request
    std::string part_stamps;       ///< signatures of the parts merged
    std::string missing_parts;     ///< shards left out
};

} // namespace kumquatramp::host

#endif
