// Renders a node's status as JSON and as metrics.
#ifndef KUMQUATRAMP_TRANSPORT_DETAILS_STATUS_BODY_HPP
#define KUMQUATRAMP_TRANSPORT_DETAILS_STATUS_BODY_HPP

#include <json/value.h>
#include <node/node_status.hpp>
#include <string>

namespace kumquatramp
{

Json::Value status_json(node_status const& status, bool ready);

/// Renders gauges in the Prometheus text format.
std::string status_metrics(node_status const& status, bool ready);

} // namespace kumquatramp

#endif
