// A back-end service as the operator configured it. Targets are its instances.
#ifndef KUMQUATRAMP_SERVING_BACKEND_SERVICE_HPP
#define KUMQUATRAMP_SERVING_BACKEND_SERVICE_HPP

#include <string>

namespace kumquatramp::serving
{

struct backend_service
{
    std::string name;
    std::string health_path;
    int max_connections = 0; ///< to a target, over all hosts; 0: no limit
    double warmup_rate = 0;  ///< requests/s to a cold target; 0: no limit

    bool operator==(backend_service const&) const = default;
};

} // namespace kumquatramp::serving

#endif
