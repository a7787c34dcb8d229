// A platform value that failed validation.
#ifndef KUMQUATRAMP_CONFIG_REFUSED_CONFIG_HPP
#define KUMQUATRAMP_CONFIG_REFUSED_CONFIG_HPP

#include <base/ids.hpp>
#include <config/config_key.hpp>
#include <rules/rule_fault.hpp>
#include <vector>

namespace kumquatramp
{

struct refused_config
{
    config_key key = config_key::rules;
    config_version version;
    std::vector<rule_fault> faults;
};

} // namespace kumquatramp

#endif
