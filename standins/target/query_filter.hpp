// Searches the items of one shard of the stock list.
#ifndef KUMQUATRAMP_STANDINS_TARGET_QUERY_FILTER_HPP
#define KUMQUATRAMP_STANDINS_TARGET_QUERY_FILTER_HPP

#include <base/snapshot_id.hpp>
#include <json/json.h>
#include <optional>
#include <span>
#include <standins/target/stock_list.hpp>
#include <string>

namespace kumquatramp::standins
{

/// Selects the items of a shard: those whose index modulo `shards` is `shard`.
struct shard_part
{
    std::uint32_t shard = 0;
    std::uint32_t shards = 1;
};

/// Returns the items that match "article", "size" and "colour" (each optional)
/// and have pieces available on "date". Each item carries the id of the
/// snapshot. Returns nullopt if parse_object() rejects the query.
std::optional<Json::Value> search(std::span<stock_item const> stock,
                                  shard_part part, snapshot_id snapshot,
                                  std::string const& query);

/// Serializes JSON without white space.
std::string to_text(Json::Value const& json);

/// Parses a JSON object; nullopt unless all members are strings or numbers.
std::optional<Json::Value> parse_object(std::string const& text);

} // namespace kumquatramp::standins

#endif
