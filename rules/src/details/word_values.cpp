// Parsers of single words.
#include <algorithm>
#include <charconv>
#include <rules/details/word_values.hpp>

namespace kumquatramp::details
{

namespace
{

constexpr std::size_t max_quoted_bytes = 40;
constexpr std::size_t max_decimal_places = 3;
constexpr std::uint64_t max_whole_part = 1'000'000'000;

bool is_digit(char c)
{
    return c >= '0' && c <= '9';
}

bool all_digits(std::string_view word)
{
    return !word.empty() && std::all_of(word.begin(), word.end(), is_digit);
}

bool take_suffix(std::string_view& word, std::string_view suffix)
{
    if (!word.ends_with(suffix))
    {
        return false;
    }
    word.remove_suffix(suffix.size());
    return true;
}

// Removes a trailing time unit from the word and returns the duration of one
// unit; nothing if there is none. "ms" is tried before "s", which is a suffix
// of it.
std::optional<duration> take_unit(std::string_view& word)
{
    if (take_suffix(word, "ms"))
    {
        return 1ms;
    }
    if (take_suffix(word, "s"))
    {
        return 1s;
    }
    if (take_suffix(word, "min"))
    {
        return 1min;
    }
    return std::nullopt;
}

} // namespace

bool is_name(std::string_view word) noexcept
{
    return !word.empty() && word.size() <= max_name_bytes &&
           std::all_of(word.begin(), word.end(),
                       [](char c) {
                           return (c >= 'a' && c <= 'z') || is_digit(c) ||
                                  c == '-';
                       });
}

std::optional<std::uint64_t> parse_count(std::string_view word) noexcept
{
    std::uint64_t number = 0;
    auto const* const end = word.data() + word.size();
    auto const parsed = std::from_chars(word.data(), end, number);
    if (!all_digits(word) || parsed.ec != std::errc{})
    {
        return std::nullopt;
    }
    return number;
}

std::optional<std::uint64_t> parse_thousandths(std::string_view word) noexcept
{
    auto const point = word.find('.');
    auto const whole = parse_count(word.substr(0, point));
    if (!whole || *whole > max_whole_part)
    {
        return std::nullopt;
    }
    if (point == std::string_view::npos)
    {
        return *whole * 1000;
    }
    auto const places = word.substr(point + 1);
    if (!all_digits(places) || places.size() > max_decimal_places)
    {
        return std::nullopt;
    }
    std::uint64_t fraction = 0;
    for (std::size_t i = 0; i < max_decimal_places; ++i)
    {
        auto const digit = i < places.size() ? places[i] - '0' : 0;
        fraction = fraction * 10 + static_cast<std::uint64_t>(digit);
    }
    return *whole * 1000 + fraction;
}

std::optional<duration> parse_duration(std::string_view word) noexcept
{
    constexpr std::uint64_t max_thousandths = 1'000'000'000;
    auto const unit = take_unit(word);
    auto const number = parse_thousandths(word);
    if (!unit || !number || *number > max_thousandths)
    {
        return std::nullopt;
    }
    return *unit / 1000 * static_cast<duration::rep>(*number);
}

std::optional<double> parse_percentage(std::string_view word) noexcept
{
    constexpr std::uint64_t hundred_percent = 100'000;
    if (!take_suffix(word, "%"))
    {
        return std::nullopt;
    }
    auto const number = parse_thousandths(word);
    if (!number || *number > hundred_percent)
    {
        return std::nullopt;
    }
    return static_cast<double>(*number) / static_cast<double>(hundred_percent);
}

std::optional<double> parse_rate(std::string_view word) noexcept
{
    if (!take_suffix(word, "/s"))
    {
        return std::nullopt;
    }
    auto const number = parse_thousandths(word);
    if (!number)
    {
        return std::nullopt;
    }
    return static_cast<double>(*number) / 1000.0;
}

std::string quote_word(std::string_view word)
{
    std::string text = "'";
    for (char const c : word.substr(0, max_quoted_bytes))
    {
        bool const printable = c >= 0x20 && c < 0x7f;
        text.push_back(printable ? c : '?');
    }
    text += word.size() > max_quoted_bytes ? "...'" : "'";
    return text;
}

} // namespace kumquatramp::details
