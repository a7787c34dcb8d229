// Builds a ruleset from single rules.
#ifndef KUMQUATRAMP_RULES_RULESET_BUILDER_HPP
#define KUMQUATRAMP_RULES_RULESET_BUILDER_HPP

#include <cstdint>
#include <rules/details/fault_list.hpp>
#include <rules/ruleset.hpp>
#include <string>
#include <unordered_map>

namespace kumquatramp
{

/// Collects rules and detects faults that involve more than one line.
class ruleset_builder
{
public:
    /// Keeps a reference: `faults` must outlive the builder.
    explicit ruleset_builder(details::fault_list& faults);

    /// Records that `line` sets `subject` to `value`. Returns false and adds a
    /// fault that names both lines if an earlier line set another value.
    bool declare(std::uint32_t line, std::string const& subject,
                 std::string const& value);

    void drain(zone_name zone);
    void drain(target_name target);

    /// The policy of a service, to be modified; it starts with the defaults.
    service_policy& policy(service_name const& service);

    /// Sets a rate limit in requests per second.
    void limit(caller_name const& caller, double rate);
    void limit(caller_name const& caller, service_name const& service,
               double rate);

    void zone_ramp(duration ramp);

    /// Runs the checks that involve several lines and returns the ruleset.
    /// The builder must not be used afterwards.
    ruleset finish();

private:
    struct declaration
    {
        std::uint32_t line = 0;
        std::string value;
    };

    // Adds a fault if the service's "at-least" coverage exceeds its "enough"
    // coverage, against the invariant of service_policy.
    void check_coverage(service_name const& service,
                        service_policy const& policy);

    details::fault_list& faults_;
    ruleset result_;
    std::unordered_map<std::string, declaration> declarations_; // by subject
};

} // namespace kumquatramp

#endif
