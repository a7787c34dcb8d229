// The current routing table and the runtime state of its services.
#ifndef KUMQUATRAMP_NODE_DETAILS_ROUTING_VIEW_HPP
#define KUMQUATRAMP_NODE_DETAILS_ROUTING_VIEW_HPP

#include "details/service_runtime.hpp"
#include <memory>
#include <mutex>
#include <routing/routing_table.hpp>
#include <rules/ruleset.hpp>
#include <unordered_map>

namespace kumquatramp
{

/// Thread-safe.
class routing_view
{
public:
    routing_view();

    /// Never null.
    std::shared_ptr<routing_table const> table() const;
    std::shared_ptr<ruleset const> rules() const;

    /// Null for a service that is not published.
    std::shared_ptr<service_runtime> runtime(service_name const& name) const;

    /// Replaces the current configuration. Runtimes of services that are no
    /// longer published are kept.
    void replace(std::shared_ptr<routing_table const> table,
                 std::shared_ptr<ruleset const> rules);

    /// The runtimes of all services, with the services' names.
    std::vector<std::pair<service_name, std::shared_ptr<service_runtime>>>
    runtimes() const;

private:
    mutable std::mutex mutex_;
    // All below are guarded by mutex_.
    std::shared_ptr<routing_table const> table_;
    std::shared_ptr<ruleset const> rules_;
    std::unordered_map<service_name, std::shared_ptr<service_runtime>>
        runtimes_;
};

} // namespace kumquatramp

#endif
