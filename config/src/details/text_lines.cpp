// Splits texts into lines.
#include <algorithm>
#include <details/text_lines.hpp>

namespace kumquatramp::details
{

std::vector<std::string_view> split_lines(std::string_view text)
{
    std::vector<std::string_view> lines;
    auto const ends = std::count(text.begin(), text.end(), '\n');
    lines.reserve(static_cast<std::size_t>(ends) + 1);
    auto end = text.find('\n');
    while (end != std::string_view::npos)
    {
        lines.push_back(text.substr(0, end));
        text.remove_prefix(end + 1);
        end = text.find('\n');
    }
    lines.push_back(text);
    return lines;
}

} // namespace kumquatramp::details
