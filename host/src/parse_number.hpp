// Parses numbers in header values.
#ifndef KUMQUATRAMP_HOST_PARSE_NUMBER_HPP
#define KUMQUATRAMP_HOST_PARSE_NUMBER_HPP

#include <charconv>
#include <optional>
#include <string_view>

namespace kumquatramp::host
{

/// Returns nothing unless the whole text is a number in range.
template <class Number>
std::optional<Number> parse_number(std::string_view text)
{
    Number value{};
    auto const [end, error] =
        std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size())
    {
        return std::nullopt;
    }
    return value;
}

} // namespace kumquatramp::host

#endif
