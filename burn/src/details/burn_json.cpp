// Renders and parses the JSON form of the burn report, with jsoncpp.
#include <algorithm>
#include <burn/render_burn.hpp>
#include <json/json.h>
#include <memory>
#include <optional>

namespace kumquatramp
{

namespace
{

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// Field names shared by the renderer and the parser.
constexpr auto rows_field = "services";
constexpr auto service_field = "service";
constexpr auto objective_field = "objective";
constexpr auto within_field = "within_ms";
constexpr auto hosts_field = "hosts";
constexpr auto windows_field = "windows";
constexpr auto history_field = "history";
constexpr auto history_slice_field = "history_slice_ms";
constexpr auto good_field = "good";
constexpr auto bad_field = "bad";

std::string name_of(burn_window window)
{
    return std::string(to_string(window));
}

Json::Value window_to_json(burn_row const& row, burn_window window)
{
    auto const& counts = row.counts(window);
    Json::Value value;
    value[good_field] = Json::UInt64{counts.good};
    value[bad_field] = Json::UInt64{counts.bad};
    value["burn_rate"] = burn_rate(row, window);
    return value;
}

Json::Value history_to_json(std::span<burn_counts const> history)
{
    Json::Value value(Json::arrayValue);
    for (auto const& counts : history)
    {
        Json::Value pair(Json::arrayValue);
        pair.append(Json::UInt64{counts.good});
        pair.append(Json::UInt64{counts.bad});
        value.append(std::move(pair));
    }
    return value;
}

Json::Value row_to_json(burn_row const& row)
{
    Json::Value value;
    value[service_field] = row.service.value();
    value[objective_field] = row.objective;
    value[within_field] =
        Json::Int64{duration_cast<milliseconds>(row.within).count()};
    value[hosts_field] = Json::UInt{row.hosts};
    value["alert"] = std::string(to_string(alert_of(row)));
    value["budget_left"] = budget_left(row);
    for (auto const window : all_burn_windows)
    {
        value[windows_field][name_of(window)] = window_to_json(row, window);
    }
    value[history_field] = history_to_json(row.history);
    return value;
}

// The parsers return false if a field is missing or has the wrong type.

bool parse_event_count(Json::Value const& value, std::uint64_t& count)
{
    if (!value.isUInt64())
    {
        return false;
    }
    count = value.asUInt64();
    return true;
}

bool parse_windows(Json::Value const& value, burn_row& row)
{
    if (!value.isObject())
    {
        return false;
    }
    for (auto const window : all_burn_windows)
    {
        auto const& item = value[name_of(window)];
        auto& counts = row.windows[static_cast<std::size_t>(window)];
        if (!item.isObject() ||
            !parse_event_count(item[good_field], counts.good) ||
            !parse_event_count(item[bad_field], counts.bad))
        {
            return false;
        }
    }
    return true;
}

bool parse_history(Json::Value const& value, burn_row& row)
{
    if (!value.isArray() || value.size() > burn_history_length)
    {
        return false;
    }
    for (auto const& pair : value)
    {
        burn_counts counts;
        if (!pair.isArray() || pair.size() != 2 ||
            !parse_event_count(pair[0], counts.good) ||
            !parse_event_count(pair[1], counts.bad))
        {
            return false;
        }
        row.history.push_back(counts);
    }
    return true;
}

bool parse_row(Json::Value const& value, burn_row& row)
{
    if (!value.isObject() || !value[service_field].isString() ||
        !value[objective_field].isNumeric() || !value[within_field].isInt64() ||
        !value[hosts_field].isUInt())
    {
        return false;
    }
    row.service = service_name{value[service_field].asString()};
    row.objective = std::clamp(value[objective_field].asDouble(), 0.0, 1.0);
    row.within = milliseconds(
        std::clamp<Json::Int64>(value[within_field].asInt64(), 0,
                                milliseconds(std::chrono::hours(24)).count()));
    row.hosts = value[hosts_field].asUInt();
    return parse_windows(value[windows_field], row) &&
           parse_history(value[history_field], row);
}

std::optional<Json::Value> parse_json(std::string_view text)
{
    Json::CharReaderBuilder builder;
    Json::CharReaderBuilder::strictMode(&builder.settings_);
    std::unique_ptr<Json::CharReader> const reader(builder.newCharReader());
    Json::Value value;
    std::string faults;
    try
    {
        if (reader->parse(text.data(), text.data() + text.size(), &value,
                          &faults))
        {
            return value;
        }
    }
    catch (Json::Exception const&)
    {
        // jsoncpp throws on nesting deeper than its stack limit; treated like
        // any other malformed text.
    }
    return std::nullopt;
}

} // namespace

std::string render_burn_json(std::span<burn_row const> rows)
{
    Json::Value value;
    value[history_slice_field] =
        Json::Int64{duration_cast<milliseconds>(burn_history_slice).count()};
    value[rows_field] = Json::Value(Json::arrayValue);
    for (auto const& row : rows)
    {
        value[rows_field].append(row_to_json(row));
    }
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

result<std::vector<burn_row>> parse_burn_json(std::string_view text)
{
    auto const value = parse_json(text);
    if (!value || !value->isObject() || !(*value)[rows_field].isArray())
    {
        return failure(error_kind::malformed_request,
                       "burn report is not a JSON object with an array "
                       "'services'");
    }
    std::vector<burn_row> rows;
    for (auto const& item : (*value)[rows_field])
    {
        burn_row row;
        if (!parse_row(item, row))
        {
            return failure(
                error_kind::malformed_request,
                "burn report has a row with a missing or invalid field");
        }
        rows.push_back(std::move(row));
    }
    return rows;
}

} // namespace kumquatramp
