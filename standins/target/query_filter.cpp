// Searches the items of one shard of the stock list.
#include <memory>
#include <standins/target/query_filter.hpp>
#include <standins/target/target_settings.hpp>

namespace kumquatramp::standins
{

namespace
{

bool matches(Json::Value const& query, char const* key,
             std::string const& value)
{
    return !query.isMember(key) || query[key].asString() == value;
}

bool matches(Json::Value const& query, stock_item const& item)
{
    return matches(query, "article", item.article) &&
           matches(query, "size", item.size) &&
           matches(query, "colour", item.colour);
}

Json::Value to_json(stock_item const& item, std::uint32_t free,
                    snapshot_id snapshot)
{
    Json::Value json;
    json["article"] = item.article;
    json["size"] = item.size;
    json["colour"] = item.colour;
    json["free"] = free;
    json["snapshot"] = to_text(std::vector<snapshot_id>{snapshot});
    return json;
}

} // namespace

std::optional<Json::Value> search(std::span<stock_item const> stock,
                                  shard_part part, snapshot_id snapshot,
                                  std::string const& query)
{
    auto const criteria = parse_object(query);
    if (!criteria)
    {
        return std::nullopt;
    }
    auto const date = criteria->get("date", "").asString();
    Json::Value items(Json::arrayValue);
    for (std::size_t i = part.shard; i < stock.size(); i += part.shards)
    {
        auto const free = stock[i].free_on(date);
        if (free > 0 && matches(*criteria, stock[i]))
        {
            items.append(to_json(stock[i], free, snapshot));
        }
    }
    Json::Value answer;
    answer["items"] = std::move(items);
    return answer;
}

std::string to_text(Json::Value const& json)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, json);
}

std::optional<Json::Value> parse_object(std::string const& text)
{
    Json::CharReaderBuilder const builder;
    std::unique_ptr<Json::CharReader> const reader(builder.newCharReader());
    Json::Value json;
    auto const* const first = text.data();
    if (!reader->parse(first, first + text.size(), &json, nullptr) ||
        !json.isObject())
    {
        return std::nullopt;
    }
    for (auto const& member : json)
    {
        if (!member.isString() && !member.isNumeric())
        {
            return std::nullopt;
        }
    }
    return json;
}

} // namespace kumquatramp::standins
