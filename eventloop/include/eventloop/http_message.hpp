// A request or a response, fully read.
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
    std::string_view method; ///< requests: static text
    std::string target;      ///< requests: path and query as received
    int status = 0;          ///< responses
    std::vector<header_line> headers;
    std::string body;
    bool keep_alive = true; ///< the sender keeps the connection

    /// The first header of this name, without regard to case, or empty.
    std::string_view header(std::string_view name) const;
    bool has_header(std::string_view name) const;
};

/// Without regard to case.
bool header_names_equal(std::string_view a, std::string_view b);

/// Whether a header concerns one connection only and is never forwarded.
/// `connection` is the message's Connection header, which may name more.
bool is_hop_by_hop(std::string_view name, std::string_view connection);

} // namespace kumquatramp::eventloop

#endif
