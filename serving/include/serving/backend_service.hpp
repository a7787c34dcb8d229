// A service that targets belong to, as the operator configured it.
#ifndef KUMQUATRAMP_SERVING_BACKEND_SERVICE_HPP
#define KUMQUATRAMP_SERVING_BACKEND_SERVICE_HPP

#include <string>

namespace kumquatramp::serving
{

struct backend_service
{
    std::string name;
    std::string health_path;
    int max_connections = 0; ///< a target's limit over all hosts; 0: none
    double warmup_rate = 0;  ///< requests/s a cold target bears; 0: no limit
};

} // namespace kumquatramp::serving

#endif
