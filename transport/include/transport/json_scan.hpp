// Validates JSON and locates an array in it without building a document tree.
#ifndef KUMQUATRAMP_TRANSPORT_JSON_SCAN_HPP
#define KUMQUATRAMP_TRANSPORT_JSON_SCAN_HPP

#include <optional>
#include <string_view>

namespace kumquatramp
{

/// Whether the text is exactly one JSON value in valid UTF-8, nested at most 64
/// levels deep.
bool is_json(std::string_view text);

/// Returns the text between the brackets of the array under the key `name` of
/// the top-level object; std::nullopt if the text is not an object with such an
/// array, or if the key occurs more than once.
std::optional<std::string_view> find_array(std::string_view text,
                                           std::string_view name);

} // namespace kumquatramp

#endif
