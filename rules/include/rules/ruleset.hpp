// The parsed and accepted rules file, with lookups.
#ifndef KUMQUATRAMP_RULES_RULESET_HPP
#define KUMQUATRAMP_RULES_RULESET_HPP

#include <base/ids.hpp>
#include <optional>
#include <rules/service_policy.hpp>
#include <unordered_map>
#include <unordered_set>

namespace kumquatramp
{

/// Immutable once parsed; safe to read from any thread.
class ruleset
{
public:
    /// The rules in force without a rules file: nothing is drained, no caller
    /// is limited, and every policy is the default.
    ruleset() = default;

    /// Whether an operator has drained the availability zone or target.
    bool drains(zone_name const& zone) const;
    bool drains(target_name const& target) const;

    /// The policy of a service; the default policy if no rule names it.
    service_policy const& policy_of(service_name const& service) const;

    /// Requests per second that the caller may send to the service through
    /// this host; nothing if there is no limit. A rule for the caller and the
    /// service takes precedence over one for the caller alone.
    std::optional<double> rate_limit(caller_name const& caller,
                                     service_name const& service) const;

    /// Time over which the traffic to a returning availability zone is ramped
    /// up from one tenth of its share to its full share.
    duration zone_ramp() const noexcept { return zone_ramp_; }

private:
    friend class ruleset_builder;

    std::unordered_set<zone_name> drained_zones_;
    std::unordered_set<target_name> drained_targets_;
    std::unordered_map<service_name, service_policy> policies_;
    std::unordered_map<caller_name, std::unordered_map<service_name, double>>
        service_rates_;
    std::unordered_map<caller_name, double> caller_rates_;
    duration zone_ramp_ = 30s;
};

} // namespace kumquatramp

#endif
