// Reading and writing JSON by jsoncpp.
#ifndef KUMQUATRAMP_TRANSPORT_JSON_TEXT_HPP
#define KUMQUATRAMP_TRANSPORT_JSON_TEXT_HPP

#include <json/value.h>
#include <optional>
#include <string>
#include <string_view>

namespace kumquatramp
{

/// Nothing if the text is not one JSON value, or nested too deeply.
std::optional<Json::Value> parse_json(std::string_view text);

/// Compact text on one line.
std::string to_json_text(Json::Value const& value);

/// The text as a JSON string, quotes included.
std::string quote_json(std::string_view text);

} // namespace kumquatramp

#endif
