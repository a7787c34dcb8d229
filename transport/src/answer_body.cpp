// Serializes response bodies; payloads are copied without parsing.
#include <base/error_answer.hpp>
#include <cstdio>
#include <details/answer_body.hpp>
#include <transport/json_text.hpp>

namespace kumquatramp
{

namespace
{

std::string format_number(double number, char const* format)
{
    char buffer[32];
    std::snprintf(buffer, sizeof buffer, format, number);
    return buffer;
}

std::string milliseconds(duration time)
{
    return format_number(
        std::chrono::duration<double, std::milli>(time).count(), "%.3f");
}

std::size_t answered_shards(request_answer const& answer)
{
    std::size_t count = 0;
    for (auto const& shard : answer.shards)
    {
        count += shard.state == shard_state::answered ? 1 : 0;
    }
    return count;
}

void append_coverage(std::string& body, request_answer const& answer)
{
    body += "\"coverage\":{\"answered\":";
    body += std::to_string(answered_shards(answer));
    body += ",\"total\":" + std::to_string(answer.shards.size());
    body += ",\"share\":" + format_number(answer.coverage, "%.6g");
    body += ",\"shards\":[";
    char const* separator = "";
    for (auto const& shard : answer.shards)
    {
        body += separator;
        body += "{\"shard\":" + std::to_string(shard.shard.value());
        body += ",\"state\":\"";
        body += to_string(shard.state);
        body += "\"}";
        separator = ",";
    }
    body += "]}";
}

void append_items(std::string& body, request_answer const& answer)
{
    body += "\"items\":[";
    char const* separator = "";
    for (auto const& shard : answer.shards)
    {
        auto const blank =
            shard.payload.find_first_not_of(" \t\r\n") == std::string::npos;
        if (shard.state == shard_state::answered && !blank)
        {
            body += separator;
            body += shard.payload;
            separator = ",";
        }
    }
    body += "]";
}

std::size_t payload_size(request_answer const& answer)
{
    constexpr std::size_t overhead_per_shard_bytes = 64;
    std::size_t size = 512;
    for (auto const& shard : answer.shards)
    {
        size += shard.payload.size() + overhead_per_shard_bytes;
    }
    return size;
}

} // namespace

std::string query_body(std::string_view trace, request_answer const& answer)
{
    std::string body;
    body.reserve(payload_size(answer));
    body += "{\"trace\":" + quote_json(trace);
    body += ",\"snapshot\":{\"map\":" + std::to_string(answer.snapshot.map);
    body += ",\"index\":" + std::to_string(answer.snapshot.index) + "},";
    append_coverage(body, answer);
    body += ",";
    append_items(body, answer);
    body += ",\"timing\":{\"elapsed_ms\":" + milliseconds(answer.elapsed);
    body += ",\"sends\":" + std::to_string(answer.sends);
    body += ",\"hedges\":" + std::to_string(answer.hedges) + "}}";
    return body;
}

std::string result_body(std::string_view trace, std::string_view id,
                        std::string_view result)
{
    std::string body = "{\"trace\":" + quote_json(trace);
    body += ",\"request_id\":" + quote_json(id);
    body += ",\"state\":\"ran\",\"result\":";
    body += result.empty() ? "null" : result;
    body += "}";
    return body;
}

std::string outcome_body(std::string_view trace, std::string_view id,
                         request_outcome const& outcome)
{
    if (outcome.state == request_state::ran)
    {
        return result_body(trace, id, outcome.response);
    }
    Json::Value body;
    body["trace"] = std::string(trace);
    body["request_id"] = std::string(id);
    body["state"] = std::string(to_string(outcome.state));
    if (outcome.error)
    {
        body["error"] = std::string(answer_of(*outcome.error).code);
    }
    return to_json_text(body);
}

std::string hosts_body(discovery_answer const& answer)
{
    Json::Value body;
    body["hosts"] = Json::Value(Json::arrayValue);
    for (auto const& host : answer.hosts)
    {
        Json::Value entry;
        entry["name"] = host.name.value();
        entry["availability_zone"] = host.zone.value();
        entry["address"] = host.caller_address;
        body["hosts"].append(entry);
    }
    body["lifetime_ms"] = static_cast<Json::Int64>(answer.lifetime / 1ms);
    return to_json_text(body);
}

} // namespace kumquatramp
