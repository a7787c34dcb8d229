// Names of the configuration keys.
#include <config/config_key.hpp>

namespace kumquatramp
{

std::string_view to_string(config_key key) noexcept
{
    switch (key)
    {
    case config_key::rules:
        return "rules";
    case config_key::catalogue:
        return "catalogue";
    case config_key::members:
        return "members";
    }
    return "unknown";
}

std::optional<config_key> parse_config_key(std::string_view name) noexcept
{
    for (auto const key : all_config_keys)
    {
        if (to_string(key) == name)
        {
            return key;
        }
    }
    return std::nullopt;
}

} // namespace kumquatramp
