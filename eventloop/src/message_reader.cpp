// Builds an http_message from the callbacks of http_parser.
#include <algorithm>
#include <base/string_memory.hpp>
#include <eventloop/message_reader.hpp>
#include <string_view>

namespace kumquatramp::eventloop
{

namespace
{

message_reader* self(http_parser* p)
{
    return static_cast<message_reader*>(p->data);
}

/// Whether a header name consists of token characters (RFC 9110).
bool is_token(std::string_view name)
{
    constexpr std::string_view symbols = "!#$%&'*+-.^_`|~";
    return !name.empty() &&
           std::all_of(name.begin(), name.end(),
                       [&](char c)
                       {
                           return (c >= '0' && c <= '9') ||
                                  (c >= 'A' && c <= 'Z') ||
                                  (c >= 'a' && c <= 'z') ||
                                  symbols.find(c) != std::string_view::npos;
                       });
}

/// Whether a header value is free of control characters other than tab.
bool is_valid_field_value(std::string_view value)
{
    return std::none_of(value.begin(), value.end(),
                        [](unsigned char c)
                        { return (c < 0x20 && c != '\t') || c == 0x7f; });
}

/// http_parser accepts header names that contain spaces, which another parser
/// may interpret as a different header.
bool well_formed(std::vector<header_line> const& headers)
{
    return std::all_of(headers.begin(), headers.end(),
                       [](header_line const& line) {
                           return is_token(line.name) &&
                                  is_valid_field_value(line.value);
                       });
}

/// http_parser's own header limit. Larger than any configurable limit, so that
/// only the limits of message_reader take effect.
constexpr std::uint32_t parser_max_header_bytes = 1U << 24U;

/// Header lines whose storage is kept for the next message.
constexpr std::size_t kept_header_lines = 32;

} // namespace

message_reader::message_reader(kind what, std::size_t header_bytes,
                               std::size_t body_bytes)
    : kind_(what)
    , max_header_bytes_(header_bytes)
    , max_body_bytes_(body_bytes)
{
    http_parser_set_max_header_size(parser_max_header_bytes);
    reset();
}

void message_reader::set_limits(std::size_t header_bytes,
                                std::size_t body_bytes)
{
    max_header_bytes_ = header_bytes;
    max_body_bytes_ = body_bytes;
}

void message_reader::reset(bool no_body)
{
    http_parser_init(&parser_,
                     kind_ == kind::request ? HTTP_REQUEST : HTTP_RESPONSE);
    parser_.data = this;
    state_ = progress::idle;
    message_.method = {};
    free_memory(message_.target);
    message_.status = 0;
    message_.headers.clear();
    if (message_.headers.capacity() > kept_header_lines)
    {
        message_.headers.shrink_to_fit();
    }
    free_memory(message_.body);
    message_.keep_alive = true;
    head_size_ = 0;
    status_line_size_ = 0;
    declared_body_bytes_ = 0;
    in_value_ = false;
    no_body_ = no_body;
    expects_continue_ = false;
}

http_parser_settings const& message_reader::callbacks()
{
    static http_parser_settings const settings = []
    {
        http_parser_settings s;
        http_parser_settings_init(&s);
        s.on_message_begin = on_begin;
        s.on_url = on_url;
        s.on_status = on_status;
        s.on_header_field = on_field;
        s.on_header_value = on_value;
        s.on_headers_complete = on_head_end;
        s.on_body = on_body;
        s.on_message_complete = on_end;
        return s;
    }();
    return settings;
}

std::size_t message_reader::feed(std::span<char const> bytes)
{
    if (state_ >= progress::complete || bytes.empty())
    {
        return 0;
    }
    if (kind_ == kind::response && !check_status(bytes))
    {
        state_ = progress::malformed;
        return 0;
    }
    std::size_t const used =
        http_parser_execute(&parser_, &callbacks(), bytes.data(), bytes.size());
    if (state_ == progress::complete)
    {
        return used;
    }
    if (HTTP_PARSER_ERRNO(&parser_) != HPE_OK || parser_.upgrade != 0)
    {
        if (!failed())
        {
            state_ = progress::malformed;
        }
        return used;
    }
    if (state_ == progress::idle)
    {
        // The protocol allows blank lines before the start line; they count
        // towards the header limit.
        head_size_ += bytes.size();
        if (head_size_ > max_header_bytes_)
        {
            state_ = progress::malformed;
        }
    }
    return used;
}

bool message_reader::check_status(std::span<char const> bytes)
{
    constexpr std::size_t first_digit = std::string_view("HTTP/1.1 ").size();
    constexpr std::size_t digits = 3;
    for (char const c : bytes)
    {
        if (status_line_size_ > first_digit + digits)
        {
            return true;
        }
        bool const line_end = c == '\r' || c == '\n';
        if (status_line_size_ == 0 && line_end)
        {
            continue; // blank lines may precede the status line
        }
        std::size_t const at = status_line_size_++;
        if (at < first_digit)
        {
            continue; // http_parser checks the version
        }
        bool const valid = at == first_digit           ? c >= '1' && c <= '5'
                           : at < first_digit + digits ? c >= '0' && c <= '9'
                                                       : c == ' ' || line_end;
        if (!valid)
        {
            return false;
        }
    }
    return true;
}

void message_reader::finish()
{
    if (state_ == progress::body)
    {
        http_parser_execute(&parser_, &callbacks(), nullptr, 0);
    }
    if (state_ != progress::complete && !failed())
    {
        state_ = progress::malformed;
    }
}

bool message_reader::count_head_bytes(std::size_t length)
{
    head_size_ += length;
    if (head_size_ > max_header_bytes_)
    {
        state_ = progress::headers_too_large;
        return false;
    }
    return true;
}

std::size_t message_reader::buffered_head_bytes() const
{
    // Strings that are appended to have up to twice the capacity that they use.
    constexpr std::size_t text_growth = 2;
    return text_growth * head_size_ +
           (message_.headers.empty()
                ? 0
                : message_.headers.capacity() * sizeof(header_line));
}

std::size_t message_reader::buffered_body_bytes() const
{
    return heap_bytes(message_.body);
}

std::size_t message_reader::buffered_bytes() const
{
    return buffered_head_bytes() + buffered_body_bytes();
}

std::size_t message_reader::expected_bytes() const
{
    return buffered_head_bytes() +
           std::max(buffered_body_bytes(), declared_body_bytes_);
}

void message_reader::reserve_body(std::size_t bytes)
{
    std::string& body = message_.body;
    if (bytes <= body.capacity())
    {
        return;
    }
    std::size_t const most =
        declared_body_bytes_ != 0 ? declared_body_bytes_ : max_body_bytes_;
    std::string larger;
    larger.reserve(
        std::clamp(2 * body.capacity(), bytes, std::max(most, bytes)));
    larger += body;
    body.swap(larger);
}

int message_reader::on_begin(http_parser* p)
{
    self(p)->state_ = progress::head;
    return 0;
}

int message_reader::on_url(http_parser* p, char const* at, std::size_t length)
{
    auto* r = self(p);
    r->message_.target.append(at, length);
    return r->count_head_bytes(length) ? 0 : 1;
}

int message_reader::on_status(http_parser* p, char const*, std::size_t length)
{
    return self(p)->count_head_bytes(length) ? 0 : 1;
}

int message_reader::on_field(http_parser* p, char const* at, std::size_t length)
{
    auto* r = self(p);
    if (r->in_value_ || r->message_.headers.empty())
    {
        if (r->message_.headers.size() >= r->max_header_lines_)
        {
            r->state_ = progress::headers_too_large;
            return 1;
        }
        r->message_.headers.emplace_back();
        r->in_value_ = false;
    }
    r->message_.headers.back().name.append(at, length);
    return r->count_head_bytes(length) ? 0 : 1;
}

int message_reader::on_value(http_parser* p, char const* at, std::size_t length)
{
    auto* r = self(p);
    r->in_value_ = true;
    r->message_.headers.back().value.append(at, length);
    return r->count_head_bytes(length) ? 0 : 1;
}

int message_reader::on_head_end(http_parser* p)
{
    auto* r = self(p);
    r->state_ = progress::body;
    if (!well_formed(r->message_.headers))
    {
        r->state_ = progress::malformed;
        return -1;
    }
    p->upgrade = p->method == HTTP_CONNECT ? p->upgrade : 0;
    r->message_.keep_alive = http_should_keep_alive(p) != 0;
    if (r->kind_ == kind::request)
    {
        r->message_.method =
            http_method_str(static_cast<http_method>(p->method));
        r->expects_continue_ =
            header_names_equal(r->message_.header("Expect"), "100-continue");
    }
    else
    {
        r->message_.status = static_cast<int>(p->status_code);
    }
    if (p->content_length != ~std::uint64_t{0})
    {
        if (p->content_length > r->max_body_bytes_)
        {
            r->state_ = progress::body_too_large;
            return -1;
        }
        r->declared_body_bytes_ = static_cast<std::size_t>(p->content_length);
    }
    return r->no_body_ ? 1 : 0;
}

int message_reader::on_body(http_parser* p, char const* at, std::size_t length)
{
    auto* r = self(p);
    if (r->message_.body.size() + length > r->max_body_bytes_)
    {
        r->state_ = progress::body_too_large;
        return 1;
    }
    r->reserve_body(r->message_.body.size() + length);
    r->message_.body.append(at, length);
    return 0;
}

int message_reader::on_end(http_parser* p)
{
    self(p)->state_ = progress::complete;
    http_parser_pause(p, 1);
    return 0;
}

} // namespace kumquatramp::eventloop
