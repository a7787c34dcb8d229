// Keys of the configuration values that hosts read from the platform.
#ifndef KUMQUATRAMP_CONFIG_CONFIG_KEY_HPP
#define KUMQUATRAMP_CONFIG_CONFIG_KEY_HPP

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>

namespace kumquatramp
{

/// Each value is a text with one entry per line and has its own version.
enum class config_key : std::uint8_t
{
    rules,     ///< the operators' rules file
    catalogue, ///< services, shard maps and targets
    members,   ///< entry hosts, both live and leaving
};

inline constexpr std::array<config_key, 3> all_config_keys{
    config_key::rules, config_key::catalogue, config_key::members};

/// The key's name on the wire, e.g. "rules".
std::string_view to_string(config_key key) noexcept;

/// Returns nullopt for an unknown name.
std::optional<config_key> parse_config_key(std::string_view name) noexcept;

} // namespace kumquatramp

#endif
