// Header lookup and classification.
#include <algorithm>
#include <array>
#include <eventloop/http_message.hpp>

namespace kumquatramp::eventloop
{

namespace
{

char lower(char c)
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

constexpr std::array<std::string_view, 9> connection_headers{
    "Connection",       "Keep-Alive", "Transfer-Encoding",
    "Content-Length",   "TE",         "Trailer",
    "Proxy-Connection", "Upgrade",    "Expect",
};

std::string_view trim(std::string_view text)
{
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t'))
    {
        text.remove_prefix(1);
    }
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t'))
    {
        text.remove_suffix(1);
    }
    return text;
}

} // namespace

bool header_names_equal(std::string_view a, std::string_view b)
{
    return a.size() == b.size() &&
           std::equal(a.begin(), a.end(), b.begin(),
                      [](char x, char y) { return lower(x) == lower(y); });
}

std::string_view http_message::header(std::string_view name) const
{
    for (auto const& line : headers)
    {
        if (header_names_equal(line.name, name))
        {
            return line.value;
        }
    }
    return {};
}

bool http_message::has_header(std::string_view name) const
{
    return std::any_of(headers.begin(), headers.end(),
                       [&](header_line const& line)
                       { return header_names_equal(line.name, name); });
}

bool is_hop_by_hop(std::string_view name, std::string_view connection)
{
    if (std::any_of(connection_headers.begin(), connection_headers.end(),
                    [&](std::string_view h)
                    { return header_names_equal(h, name); }))
    {
        return true;
    }
    while (!connection.empty())
    {
        auto const comma = connection.find(',');
        if (header_names_equal(trim(connection.substr(0, comma)), name))
        {
            return true;
        }
        connection.remove_prefix(
            comma == std::string_view::npos ? connection.size() : comma + 1);
    }
    return false;
}

} // namespace kumquatramp::eventloop
