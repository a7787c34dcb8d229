// Table of the keys of the settings file.
#ifndef KUMQUATRAMP_TRANSPORT_DETAILS_SETTINGS_TABLE_HPP
#define KUMQUATRAMP_TRANSPORT_DETAILS_SETTINGS_TABLE_HPP

#include <functional>
#include <span>
#include <string>
#include <string_view>

namespace kumquatramp
{

struct daemon_settings;

/// One key and the function that validates and stores its value.
struct settings_key
{
    std::string_view section;
    std::string_view key;
    bool required;

    /// Stores the value; returns the reason if it is invalid, else an empty
    /// string.
    std::function<std::string(daemon_settings&, std::string const&)> store;
};

/// All keys except the two that supply the fleet key, in the order of the
/// manual.
std::span<settings_key const> settings_table();

/// The table row of a key; null if the key is unknown.
settings_key const* find_setting(std::string_view section,
                                 std::string_view key);

} // namespace kumquatramp

#endif
