// Update of one configuration value, sent to a host that is out of date.
#ifndef KUMQUATRAMP_CONFIG_CONFIG_UPDATE_HPP
#define KUMQUATRAMP_CONFIG_CONFIG_UPDATE_HPP

#include <config/config_stamp.hpp>
#include <config/line_delta.hpp>
#include <optional>
#include <string>
#include <vector>

namespace kumquatramp
{

/// Either the complete text, or edits relative to the value with stamp `base`.
struct config_update
{
    config_key key = config_key::rules;
    config_stamp stamp;               ///< stamp of the value after the update
    std::optional<config_stamp> base; ///< set if this is a delta
    std::string text;                 ///< complete text, if base is not set
    std::vector<line_edit> edits;     ///< delta, if base is set
};

} // namespace kumquatramp

#endif
