// An attempt whose reply has arrived.
#ifndef KUMQUATRAMP_NODE_DETAILS_ENDED_ATTEMPT_HPP
#define KUMQUATRAMP_NODE_DETAILS_ENDED_ATTEMPT_HPP

#include "details/query_engine.hpp"

namespace kumquatramp
{

struct query_engine::ended_attempt
{
    open_attempt attempt;
    duration latency{0};
};

} // namespace kumquatramp

#endif
