// Registry entry of a target.
#ifndef KUMQUATRAMP_SERVING_TARGET_RECORD_HPP
#define KUMQUATRAMP_SERVING_TARGET_RECORD_HPP

#include <base/time.hpp>
#include <cstdint>
#include <string>

namespace kumquatramp::serving
{

struct target_record
{
    std::string id; ///< of the instance at the address
    std::string service;
    std::string address; ///< IP:port
    std::string zone;
    int slots = 1;
    bool draining = false;
    duration warmup_left{};
    std::int64_t incarnation_start_ms = 0; ///< by the target's own clock
};

} // namespace kumquatramp::serving

#endif
