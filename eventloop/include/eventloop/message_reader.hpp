// Incremental parser for HTTP/1.1 messages, based on http_parser.
#ifndef KUMQUATRAMP_EVENTLOOP_MESSAGE_READER_HPP
#define KUMQUATRAMP_EVENTLOOP_MESSAGE_READER_HPP

#include <cstddef>
#include <eventloop/http_message.hpp>
#include <http_parser.h>
#include <span>

namespace kumquatramp::eventloop
{

/// Parses one message at a time from a byte stream. Ambiguous framing (both
/// Content-Length and chunked encoding, or two Content-Length headers) and a
/// status outside 100 to 599 are errors.
///
///     message_reader reader(message_reader::kind::request, 16384, 262144);
///     std::size_t used = reader.feed(bytes);
///     if (reader.state() == message_reader::progress::complete) ...
class message_reader
{
public:
    enum class kind
    {
        request,
        response,
    };

    enum class progress
    {
        idle, ///< no byte of a message received yet
        head, ///< receiving the start line or headers
        body, ///< receiving the body
        complete,
        malformed,
        headers_too_large,
        body_too_large,
    };

    /// `header_bytes` limits the total size of the request target or reason
    /// phrase, header names and values; `body_bytes` limits the body.
    message_reader(kind what, std::size_t header_bytes, std::size_t body_bytes);
    message_reader(message_reader const&) = delete;
    message_reader& operator=(message_reader const&) = delete;

    /// Consumes bytes up to the end of the message; returns the number of
    /// bytes consumed.
    std::size_t feed(std::span<char const> bytes);

    /// Signals an orderly end of the stream, which completes a message whose
    /// body is delimited by the end of the connection. Otherwise the state
    /// becomes malformed, unless the message is already complete or failed.
    void finish();

    /// Prepares for the next message and frees what the last one held. With
    /// `no_body` the message ends after its headers, as a response to HEAD
    /// does.
    void reset(bool no_body = false);

    void set_limits(std::size_t header_bytes, std::size_t body_bytes);
    /// Limits the number of headers; more of them end in headers_too_large.
    void set_max_header_lines(std::size_t count) { max_header_lines_ = count; }

    progress state() const { return state_; }
    bool failed() const { return state_ > progress::complete; }
    bool expects_continue() const { return expects_continue_; }

    /// Upper bound on the memory allocated for the present message: its body,
    /// its header lines and their text.
    std::size_t buffered_bytes() const;
    /// The same with all of the body that the head declares.
    std::size_t expected_bytes() const;

    http_message& message() { return message_; }

private:
    static int on_begin(http_parser* p);
    static int on_url(http_parser* p, char const* at, std::size_t length);
    static int on_status(http_parser* p, char const* at, std::size_t length);
    static int on_field(http_parser* p, char const* at, std::size_t length);
    static int on_value(http_parser* p, char const* at, std::size_t length);
    static int on_head_end(http_parser* p);
    static int on_body(http_parser* p, char const* at, std::size_t length);
    static int on_end(http_parser* p);
    static http_parser_settings const& callbacks();
    bool count_head_bytes(std::size_t length);
    /// Whether the start of a response, as far as it has arrived, can have a
    /// status from 100 to 599. http_parser accepts numbers of other lengths.
    bool check_status(std::span<char const> bytes);
    std::size_t buffered_head_bytes() const;
    std::size_t buffered_body_bytes() const;
    /// Allocates what the body can use at most, so that growth by doubling does
    /// not exceed its limit.
    void reserve_body(std::size_t bytes);

    http_parser parser_{};
    kind kind_;
    std::size_t max_header_bytes_;
    std::size_t max_body_bytes_;
    std::size_t max_header_lines_ = 1000;
    progress state_ = progress::idle;
    http_message message_;
    std::size_t head_size_ = 0;
    std::size_t status_line_size_ = 0; ///< characters checked by check_status
    std::size_t declared_body_bytes_ = 0; ///< 0 if none is declared
    bool in_value_ = false;
    bool no_body_ = false;
    bool expects_continue_ = false;
};

} // namespace kumquatramp::eventloop

#endif
