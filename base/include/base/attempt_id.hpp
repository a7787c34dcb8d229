// Id of a single attempt: one send of one sub-request to one target.
#ifndef KUMQUATRAMP_BASE_ATTEMPT_ID_HPP
#define KUMQUATRAMP_BASE_ATTEMPT_ID_HPP

#include <base/ids.hpp>
#include <compare>
#include <optional>
#include <string>
#include <string_view>

namespace kumquatramp
{

/// Unique within the fleet, since it contains the host's incarnation. The
/// target echoes it; an answer with another id belongs to a different attempt
/// and is never merged.
struct attempt_id
{
    incarnation host;
    query_number query;
    shard_index shard;
    std::uint32_t attempt = 0;

    // NOLINTNEXTLINE(modernize-use-nullptr): false alarm on defaulted <=>
    friend auto operator<=>(attempt_id const&, attempt_id const&) = default;
};

/// Formats the id as "incarnation-query-shard-attempt", each part in hex.
std::string to_string(attempt_id const& id);

/// Parses the text form; nothing if it is malformed.
std::optional<attempt_id> parse_attempt_id(std::string_view text);

} // namespace kumquatramp

#endif
