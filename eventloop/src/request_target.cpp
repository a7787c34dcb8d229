// Parses request targets and decodes percent escapes.
#include <algorithm>
#include <charconv>
#include <eventloop/request_target.hpp>

namespace kumquatramp::eventloop
{

request_target::request_target(std::string_view text)
{
    auto const question_mark = std::min(text.find('?'), text.size());
    path_ = text.substr(0, question_mark);
    query_ = text.substr(std::min(question_mark + 1, text.size()));
}

std::optional<std::string>
request_target::parameter(std::string_view name) const
{
    std::string_view rest = query_;
    while (!rest.empty())
    {
        auto const end = std::min(rest.find('&'), rest.size());
        std::string_view const pair = rest.substr(0, end);
        auto const equals = pair.find('=');
        if (equals != std::string_view::npos && pair.substr(0, equals) == name)
        {
            return decode_percent(pair.substr(equals + 1));
        }
        rest.remove_prefix(std::min(end + 1, rest.size()));
    }
    return std::nullopt;
}

std::optional<std::string> decode_percent(std::string_view text)
{
    std::string decoded;
    decoded.reserve(text.size());
    while (!text.empty())
    {
        if (text.front() != '%')
        {
            decoded += text.front() == '+' ? ' ' : text.front();
            text.remove_prefix(1);
            continue;
        }
        constexpr std::size_t escape_length = 3;
        int code = 0;
        char const* const first = text.data() + 1;
        if (text.size() < escape_length || *first == '-' ||
            std::from_chars(first, first + 2, code, 16).ptr != first + 2)
        {
            return std::nullopt;
        }
        decoded += static_cast<char>(code);
        text.remove_prefix(escape_length);
    }
    return decoded;
}

} // namespace kumquatramp::eventloop
