// Lookups in an accepted ruleset.
#include <rules/ruleset.hpp>

namespace kumquatramp
{

bool ruleset::drains(zone_name const& zone) const
{
    return drained_zones_.contains(zone);
}

bool ruleset::drains(target_name const& target) const
{
    return drained_targets_.contains(target);
}

service_policy const& ruleset::policy_of(service_name const& service) const
{
    static service_policy const defaults;
    auto const found = policies_.find(service);
    return found == policies_.end() ? defaults : found->second;
}

std::optional<double> ruleset::rate_limit(caller_name const& caller,
                                          service_name const& service) const
{
    auto const rates = service_rates_.find(caller);
    if (rates != service_rates_.end())
    {
        auto const rate = rates->second.find(service);
        if (rate != rates->second.end())
        {
            return rate->second;
        }
    }
    auto const rate = caller_rates_.find(caller);
    if (rate == caller_rates_.end())
    {
        return std::nullopt;
    }
    return rate->second;
}

} // namespace kumquatramp
