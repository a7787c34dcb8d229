// JSON parsing and serialization with jsoncpp.
#ifndef KUMQUATRAMP_TRANSPORT_JSON_TEXT_HPP
#define KUMQUATRAMP_TRANSPORT_JSON_TEXT_HPP

#include <json/value.h>
#include <optional>
#include <string>
#include <string_view>

namespace kumquatramp
{

/// Returns std::nullopt if the text is not exactly one JSON value or is nested
/// too deeply.
std::optional<Json::Value> parse_json(std::string_view text);

/// Serializes a value compactly, on one line.
std::string to_json_text(Json::Value const& value);

/// Escapes the text as a JSON string, including the quotes.
std::string quote_json(std::string_view text);

} // namespace kumquatramp

#endif
