// Splits configuration texts into lines, words and comments.
#include <algorithm>
#include <rules/details/line_reader.hpp>

namespace kumquatramp::details
{

namespace
{

constexpr bool is_blank(char c)
{
    return c == ' ' || c == '\t' || c == '\r';
}

std::string_view trim(std::string_view text)
{
    while (!text.empty() && is_blank(text.front()))
    {
        text.remove_prefix(1);
    }
    while (!text.empty() && is_blank(text.back()))
    {
        text.remove_suffix(1);
    }
    return text;
}

void split_words(std::string_view text, std::vector<std::string_view>& words)
{
    words.clear();
    auto first = std::find_if_not(text.begin(), text.end(), is_blank);
    while (first != text.end())
    {
        auto const last = std::find_if(first, text.end(), is_blank);
        words.emplace_back(first, last);
        first = std::find_if_not(last, text.end(), is_blank);
    }
}

} // namespace

line_reader::line_reader(std::string_view text) noexcept
    : rest_(text)
{
}

bool line_reader::next(config_line& line)
{
    if (rest_.empty())
    {
        return false;
    }
    auto const end = rest_.find('\n');
    line.raw = rest_.substr(0, end);
    rest_.remove_prefix(end == std::string_view::npos ? rest_.size() : end + 1);
    line.number = ++number_;
    auto const hash = line.raw.find('#');
    bool const commented = hash != std::string_view::npos;
    line.comment =
        commented ? trim(line.raw.substr(hash + 1)) : std::string_view{};
    split_words(line.raw.substr(0, hash), line.words);
    return true;
}

bool has_control_characters(std::string_view line) noexcept
{
    return std::any_of(line.begin(), line.end(),
                       [](char c)
                       {
                           auto const byte = static_cast<unsigned char>(c);
                           return (byte < 0x20U && !is_blank(c)) ||
                                  byte == 0x7fU;
                       });
}

} // namespace kumquatramp::details
