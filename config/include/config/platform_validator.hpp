// Validation that every host applies to the values of the platform.
#ifndef KUMQUATRAMP_CONFIG_PLATFORM_VALIDATOR_HPP
#define KUMQUATRAMP_CONFIG_PLATFORM_VALIDATOR_HPP

#include <config/value_validator.hpp>

namespace kumquatramp
{

/// Validates rules, catalogue and members with their parsers. Refuses texts
/// larger than max_value_bytes, a catalogue without services and a membership
/// list without hosts.
class platform_validator final : public value_validator
{
public:
    std::vector<rule_fault> validate(config_key key,
                                     std::string_view text) const override;
};

/// Maximum size of a value on the platform, in bytes.
inline constexpr std::size_t max_value_bytes = 1'000'000;

} // namespace kumquatramp

#endif
