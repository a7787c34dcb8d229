// Checks JSON and finds a part of it without building values.
#ifndef KUMQUATRAMP_TRANSPORT_JSON_SCAN_HPP
#define KUMQUATRAMP_TRANSPORT_JSON_SCAN_HPP

#include <optional>
#include <string_view>

namespace kumquatramp
{

/// Whether the text is one JSON value in UTF-8, not nested too deeply.
bool is_json(std::string_view text);

/// The text between the brackets of the array under `name` in an object;
/// nothing if the text is no such object, or has the name twice.
std::optional<std::string_view> find_array(std::string_view text,
                                           std::string_view name);

} // namespace kumquatramp

#endif
