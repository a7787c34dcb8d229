// A completely received HTTP request or response.
#ifndef KUMQUATRAMP_EVENTLOOP_HTTP_MESSAGE_HPP
#define KUMQUATRAMP_EVENTLOOP_HTTP_MESSAGE_HPP

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace kumquatramp::eventloop
{

struct header_line
{
    std::string name;
    std::string value;
};

struct http_message
{
    std::string_view method; ///< requests only; points to static storage
    std::string target;      ///< requests only: path and query as received
    int status = 0;          ///< responses only
    std::vector<header_line> headers;
    std::string body;
    bool keep_alive = true; ///< the sender keeps the connection open

    /// Returns the value of the first header with this name (compared
    /// case-insensitively), or an empty view.
    std::string_view header(std::string_view name) const;
    bool has_header(std::string_view name) const;
};

/// Compares header names case-insensitively (ASCII).
bool header_names_equal(std::string_view a, std::string_view b);

/// Whether a header applies to a single connection and must not be forwarded.
/// `connection` is the value of the message's Connection header, which may list
/// further such headers.
bool is_hop_by_hop(std::string_view name, std::string_view connection);

} // namespace kumquatramp::eventloop

#endif
