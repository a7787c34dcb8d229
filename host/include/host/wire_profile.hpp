// The platform's names of the headers that hosts, clients and targets exchange.
#ifndef KUMQUATRAMP_HOST_WIRE_PROFILE_HPP
#define KUMQUATRAMP_HOST_WIRE_PROFILE_HPP

#include <string>

namespace kumquatramp::host
{

/// Each member is the name of a header.
struct wire_profile
{
    std::string request_id;
    std::string time_left_ms; ///< remaining time that the sender waits
    /// Target instance that the request is for; any other one refuses it.
    std::string expected_instance;
    std::string stamp;         ///< a target's signature on its answer
    std::string load;          ///< a target's load as "running,waiting,slots"
    std::string rate_limit;    ///< requests/s that a target accepts in all
    std::string shutting_down; ///< "1": the target is about to shut down
    std::string not_executed;  ///< the target did not run the request
    std::string part_stamps;   ///< signatures of the merged parts
    std::string missing_parts; ///< number of shards missing from the answer
};

} // namespace kumquatramp::host

#endif
