// Dependencies that the query engine shares with the rest of the node.
#ifndef KUMQUATRAMP_NODE_DETAILS_ENGINE_CONTEXT_HPP
#define KUMQUATRAMP_NODE_DETAILS_ENGINE_CONTEXT_HPP

#include "details/cold_send_permission.hpp"
#include "details/grant_client.hpp"
#include "details/routing_view.hpp"
#include <base/ids.hpp>
#include <base/random_source.hpp>
#include <burn/burn_rate_tracker.hpp>
#include <limits/admission.hpp>
#include <membership/view_lease.hpp>
#include <requests/request_id_codec.hpp>
#include <requests/request_ledger.hpp>
#include <routing/replica_chooser.hpp>

namespace kumquatramp
{

/// References to objects that the node owns and that outlive the engine.
struct engine_context
{
    incarnation life;
    random_source& random;
    routing_view const& routes;
    view_lease const& lease;
    request_ledger& ledger;
    request_id_codec const& codec;
    admission_controller& admission_control;
    replica_chooser& chooser;
    burn_rate_tracker& burn;
    grant_client& grants;
    cold_send_permission const& permission;
};

} // namespace kumquatramp

#endif
