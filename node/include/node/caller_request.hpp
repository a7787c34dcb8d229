// Input event: a caller submits a request.
#ifndef KUMQUATRAMP_NODE_CALLER_REQUEST_HPP
#define KUMQUATRAMP_NODE_CALLER_REQUEST_HPP

#include <base/ids.hpp>
#include <base/time.hpp>
#include <memory>
#include <optional>
#include <requests/request_id.hpp>
#include <string>

namespace kumquatramp
{

struct caller_request
{
    /// Assigned by the driver; unique within the host's incarnation.
    query_number number;
    service_name service;
    caller_name caller;

    /// The caller's timeout, counted from submission; the service's own
    /// deadline applies if it is shorter.
    duration allowed = duration::max();

    /// Request id; set for non-idempotent services, which run each id at most
    /// once.
    std::optional<request_id> once;

    /// Selects the shard of a non-idempotent request by hash.
    std::string key;

    /// Opaque to the node; shared with the sub-requests instead of copied.
    std::shared_ptr<std::string const> body;
};

} // namespace kumquatramp

#endif
