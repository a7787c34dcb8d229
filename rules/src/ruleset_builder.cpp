// Collected rules, and the checks that involve several lines.
#include <algorithm>
#include <ruleset_builder.hpp>
#include <utility>
#include <vector>

namespace kumquatramp
{

ruleset_builder::ruleset_builder(details::fault_list& faults)
    : faults_(faults)
{
}

bool ruleset_builder::declare(std::uint32_t line, std::string const& subject,
                              std::string const& value)
{
    auto const [earlier, added] =
        declarations_.emplace(subject, declaration{line, value});
    if (added || earlier->second.value == value)
    {
        return true;
    }
    faults_.add(line, "'" + subject + "' has another value on line " +
                          std::to_string(earlier->second.line) +
                          "; keep one of " +
                          std::to_string(earlier->second.line) + " and " +
                          std::to_string(line));
    return false;
}

void ruleset_builder::drain(zone_name zone)
{
    result_.drained_zones_.insert(std::move(zone));
}

void ruleset_builder::drain(target_name target)
{
    result_.drained_targets_.insert(std::move(target));
}

service_policy& ruleset_builder::policy(service_name const& service)
{
    return result_.policies_[service];
}

void ruleset_builder::limit(caller_name const& caller, double rate)
{
    result_.caller_rates_[caller] = rate;
}

void ruleset_builder::limit(caller_name const& caller,
                            service_name const& service, double rate)
{
    result_.service_rates_[caller][service] = rate;
}

void ruleset_builder::zone_ramp(duration ramp)
{
    result_.zone_ramp_ = ramp;
}

void ruleset_builder::check_coverage(service_name const& service,
                                     service_policy const& policy)
{
    auto const prefix = "coverage " + service.value();
    auto const least = declarations_.find(prefix + " at-least");
    auto const enough = declarations_.find(prefix + " enough");
    bool const both =
        least != declarations_.end() && enough != declarations_.end();
    if (both && policy.min_coverage > policy.enough_coverage)
    {
        auto const first = std::min(least->second.line, enough->second.line);
        auto const last = std::max(least->second.line, enough->second.line);
        faults_.add(last, "'" + prefix +
                              "' can never be met: at-least is "
                              "over enough (lines " +
                              std::to_string(first) + " and " +
                              std::to_string(last) + ")");
    }
}

ruleset ruleset_builder::finish()
{
    // Sorted by name: the list of faults is bounded, and all hosts must list
    // the same ones whatever the iteration order of the hash map.
    std::vector<service_name> services;
    for (auto const& entry : result_.policies_)
    {
        services.push_back(entry.first);
    }
    std::sort(services.begin(), services.end());
    for (auto const& service : services)
    {
        check_coverage(service, result_.policies_.at(service));
    }
    return std::move(result_);
}

} // namespace kumquatramp
