// Interface for the validation of complete platform values.
#ifndef KUMQUATRAMP_CONFIG_VALUE_VALIDATOR_HPP
#define KUMQUATRAMP_CONFIG_VALUE_VALIDATOR_HPP

#include <config/config_key.hpp>
#include <rules/rule_fault.hpp>
#include <string_view>
#include <vector>

namespace kumquatramp
{

/// The result depends on the text alone, so that all hosts agree. Thread-safe.
class value_validator
{
public:
    value_validator() = default;
    value_validator(value_validator const&) = delete;
    value_validator& operator=(value_validator const&) = delete;
    virtual ~value_validator() = default;

    /// Returns the faults in order of their lines; empty if the text is valid.
    virtual std::vector<rule_fault> validate(config_key key,
                                             std::string_view text) const = 0;
};

} // namespace kumquatramp

#endif
