// Conversion of attempt ids to and from text.
#include <base/attempt_id.hpp>
#include <charconv>
#include <cstdio>

namespace kumquatramp
{

namespace
{

// Parses a hex number up to `delimiter`, or up to the end of the text for '\0',
// and removes both from `text`. False if it is empty, malformed or too large.
template <class Number>
bool parse_hex_field(std::string_view& text, char delimiter, Number& number)
{
    auto const length = delimiter == '\0' ? text.size() : text.find(delimiter);
    if (length == std::string_view::npos || length == 0)
    {
        return false;
    }
    auto const* const first = text.data();
    auto const parsed = std::from_chars(first, first + length, number, 16);
    if (parsed.ec != std::errc{} || parsed.ptr != first + length)
    {
        return false;
    }
    text.remove_prefix(delimiter == '\0' ? length : length + 1);
    return true;
}

} // namespace

std::string to_string(attempt_id const& id)
{
    char buffer[64];
    auto const length =
        std::snprintf(buffer, sizeof buffer, "%llx-%llx-%x-%x",
                      static_cast<unsigned long long>(id.host.value()),
                      static_cast<unsigned long long>(id.query.value()),
                      id.shard.value(), id.attempt);
    return {buffer, static_cast<std::size_t>(length)};
}

std::optional<attempt_id> parse_attempt_id(std::string_view text)
{
    std::uint64_t host = 0;
    std::uint64_t query = 0;
    std::uint32_t shard = 0;
    std::uint32_t attempt = 0;
    bool const valid = parse_hex_field(text, '-', host) &&
                       parse_hex_field(text, '-', query) &&
                       parse_hex_field(text, '-', shard) &&
                       parse_hex_field(text, '\0', attempt);
    if (!valid)
    {
        return std::nullopt;
    }
    return attempt_id{incarnation{host}, query_number{query},
                      shard_index{shard}, attempt};
}

} // namespace kumquatramp
