// Reads requests one at a time and writes their responses.
#include "details/server_connection.hpp"
#include "details/read_buffer.hpp"
#include "details/turn_queue.hpp"
#include <algorithm>
#include <base/error_answer.hpp>
#include <base/string_memory.hpp>
#include <eventloop/process_budget.hpp>
#include <eventloop/socket_options.hpp>
#include <sys/socket.h>

namespace kumquatramp::eventloop
{

namespace
{

/// Limit on buffered bytes of pipelined requests; reading stops at this size.
constexpr std::size_t max_pending_bytes = 16384;
/// Most that one connection does in a turn of the event loop: bytes of a body,
/// and pipelined requests.
constexpr std::size_t max_bytes_per_turn = 16384;
constexpr int max_requests_per_turn = 8;
/// How long a client may take to close its side after the last response.
constexpr duration linger_timeout = 1s;

/// Charged for each connection: its state, and what the kernel may hold for it
/// unread.
constexpr std::size_t connection_bytes = 26U << 10U;
/// A request that holds more than this leaves memory to smaller ones.
constexpr std::size_t small_request_bytes = 32U << 10U;

/// While memory is short, a request is refused that has been arriving for the
/// first time and has paused for the second one, or has been slower than this
/// rate on the whole.
constexpr duration min_slow_age = 1s;
constexpr duration max_quiet_time = 1s;
constexpr double min_bytes_per_s = 16384;
/// While memory is short, a connection is closed whose client has taken nothing
/// of its response for this long.
constexpr duration max_unread_time = 5s;

constexpr std::string_view head_method = "HEAD";

} // namespace

server_connection::server_connection(http_server& server,
                                     asio::ip::tcp::socket socket)
    : server_(server)
    , socket_(std::move(socket))
    , reader_(message_reader::kind::request, server.limits_.header_bytes,
              server.limits_.body_bytes)
    , slot_(server.budget_->sockets, socket_use::client)
    , charge_(server.budget_->memory)
    , unsent_charge_(server.budget_->memory)
    , phase_start_(server.time_.now())
    , last_byte_time_(phase_start_)
    , last_write_time_(phase_start_)
{
    charge_.try_resize(connection_bytes, memory_use::small);
}

void server_connection::start()
{
    set_common_options(socket_);
    wait_readable();
}

void server_connection::wait_readable()
{
    // Stops reading from a client that pipelines too far ahead of its
    // responses.
    if (read_wait_pending_ || closed_ || pending_.size() >= max_pending_bytes)
    {
        return;
    }
    read_wait_pending_ = true;
    socket_.async_wait(asio::ip::tcp::socket::wait_read,
                       [self = shared_from_this()](asio::error_code const& e)
                       {
                           self->read_wait_pending_ = false;
                           if (!e && !self->closed_)
                           {
                               self->on_readable();
                           }
                       });
}

void server_connection::on_readable()
{
    // The rest of a body is read over several turns.
    if (exchange_ == 0 && !lingering_ &&
        reader_.state() == message_reader::progress::body)
    {
        defer();
        return;
    }
    read(read_buffer().size());
}

void server_connection::defer()
{
    if (!deferred_)
    {
        deferred_ = true;
        server_.turns_->push(shared_from_this());
    }
}

bool server_connection::has_work() const
{
    return exchange_ == 0 && !writing_ && !close_after_response_ &&
           !pending_.empty();
}

void server_connection::resume()
{
    deferred_ = false;
    if (closed_)
    {
        return;
    }
    if (has_work())
    {
        process();
        wait_readable();
        return;
    }
    read(max_bytes_per_turn);
}

void server_connection::read(std::size_t limit)
{
    auto& buffer = read_buffer();
    std::size_t const room =
        reads_ahead() ? max_pending_bytes - pending_.size() : limit;
    asio::error_code failed;
    std::size_t const size =
        socket_.read_some(asio::buffer(buffer, room), failed);
    if (failed == asio::error::would_block)
    {
        wait_readable();
        return;
    }
    if (failed)
    {
        exchange_id const open = exchange_;
        close();
        if (open != 0)
        {
            server_.handler_.on_client_disconnected(open);
        }
        return;
    }
    if (!lingering_)
    {
        last_byte_time_ = server_.time_.now();
        on_bytes({buffer.data(), size});
    }
    wait_readable();
}

bool server_connection::reads_ahead() const
{
    return !lingering_ && (exchange_ != 0 || writing_ || !pending_.empty());
}

void server_connection::on_bytes(std::span<char const> bytes)
{
    if (exchange_ == 0 && pending_.empty() && !close_after_response_)
    {
        if (reader_.state() == message_reader::progress::idle)
        {
            phase_start_ = last_byte_time_;
        }
        bytes = bytes.subspan(feed(bytes));
    }
    pending_.append(bytes.data(), bytes.size());
    process();
    if (!closed_)
    {
        // What was read ahead is held already.
        charge_.resize(held_bytes());
    }
}

std::size_t server_connection::held_bytes() const
{
    return connection_bytes + request_bytes() + heap_bytes(pending_);
}

std::size_t server_connection::request_bytes() const
{
    using progress = message_reader::progress;
    if (exchange_ != 0 || reader_.state() == progress::idle)
    {
        return 0;
    }
    // The declared rest of a body is reserved, so that a request that is let in
    // can be read to its end.
    return reader_.expected_bytes();
}

bool server_connection::account()
{
    return charge_.try_resize(held_bytes(),
                              request_bytes() > small_request_bytes
                                  ? memory_use::large
                                  : memory_use::small);
}

bool server_connection::receives_slowly(time_point now) const
{
    if (closed_ || lingering_ || writing_ || exchange_ != 0 ||
        reader_.state() == message_reader::progress::idle ||
        request_age(now) < min_slow_age)
    {
        return false;
    }
    double const age_s =
        std::chrono::duration<double>(request_age(now)).count();
    return now - last_byte_time_ >= max_quiet_time ||
           static_cast<double>(request_received_) < min_bytes_per_s * age_s;
}

bool server_connection::writes_stalled(time_point now) const
{
    return writing_ && !closed_ && now - last_write_time_ >= max_unread_time;
}

duration server_connection::quiet_time(time_point now) const
{
    return closed_ || exchange_ != 0 || writing_
               ? duration::zero()
               : now - std::max(phase_start_, last_byte_time_);
}

void server_connection::refuse_for_memory()
{
    ++server_.memory_refusals_;
    refuse(error_kind::overloaded);
}

std::size_t server_connection::feed(std::span<char const> bytes)
{
    if (reader_.state() == message_reader::progress::idle)
    {
        // A request that has begun keeps the limits that it began with.
        reader_.set_limits(server_.limits_.header_bytes,
                           server_.limits_.body_bytes);
        reader_.set_max_header_lines(server_.limits_.header_lines);
        request_received_ = 0;
    }
    std::size_t const used = reader_.feed(bytes);
    request_received_ += used;
    return used;
}

void server_connection::process()
{
    if (processing_ || deferred_)
    {
        return;
    }
    processing_ = true;
    auto const self = shared_from_this();
    int handled = 0;
    while (exchange_ == 0 && !closed_ && !close_after_response_ && !writing_)
    {
        using progress = message_reader::progress;
        if (handled == max_requests_per_turn && has_work())
        {
            defer();
            break;
        }
        if (reader_.state() < progress::complete && !pending_.empty())
        {
            std::size_t const used = feed(pending_);
            pending_.erase(0, used);
        }
        if (reader_.failed())
        {
            refuse(reader_.state() == progress::headers_too_large
                       ? error_kind::headers_too_large
                   : reader_.state() == progress::body_too_large
                       ? error_kind::body_too_large
                       : error_kind::malformed_request);
            break;
        }
        if (!account())
        {
            refuse_for_memory();
            break;
        }
        if (reader_.state() != progress::complete)
        {
            if (reader_.state() == progress::body &&
                reader_.expects_continue() && !continue_sent_)
            {
                continue_sent_ = true;
                write("HTTP/1.1 100 Continue\r\n\r\n");
            }
            break;
        }
        ++handled;
        exchange_ = ++server_.last_exchange_;
        server_.exchanges_.emplace(exchange_, this);
        close_after_response_ = !reader_.message().keep_alive;
        head_request_ = reader_.message().method == head_method;
        // From here on the handler accounts for the request.
        charge_.resize(held_bytes());
        server_.handler_.on_request(exchange_, reader_.message());
        if (exchange_ != 0)
        {
            // What the handler has left of the message is not needed.
            reader_.reset();
            break;
        }
    }
    processing_ = false;
}

void server_connection::refuse(error_kind kind)
{
    close_after_response_ = true;
    head_request_ = reader_.message().method == head_method;
    drop_input();
    write_response(server_.handler_.rejection(kind));
}

void server_connection::drop_input()
{
    reader_.reset();
    free_memory(pending_);
    charge_.resize(std::min(charge_.bytes(), connection_bytes));
}

bool server_connection::client_has_left()
{
    char byte = 0;
    return !closed_ && recv(socket_.native_handle(), &byte, sizeof byte,
                            MSG_PEEK | MSG_DONTWAIT) == 0;
}

void server_connection::write_response(std::string bytes)
{
    if (head_request_)
    {
        constexpr std::string_view head_end = "\r\n\r\n";
        if (auto const end = bytes.find(head_end); end != std::string::npos)
        {
            bytes.resize(end + head_end.size());
        }
    }
    write(std::move(bytes));
}

void server_connection::respond(std::string bytes, bool close)
{
    server_.exchanges_.erase(exchange_);
    exchange_ = 0;
    close_after_response_ = close_after_response_ || close;
    reader_.reset();
    continue_sent_ = false;
    phase_start_ = server_.time_.now();
    write_response(std::move(bytes));
    if (!writing_)
    {
        process();
    }
    wait_readable();
}

void server_connection::write(std::string bytes)
{
    if (closed_)
    {
        return;
    }
    unsent_ = std::move(bytes);
    sent_ = 0;
    last_write_time_ = server_.time_.now();
    flush();
}

void server_connection::flush()
{
    asio::error_code failed;
    std::size_t const size = socket_.write_some(
        asio::buffer(unsent_.data() + sent_, unsent_.size() - sent_), failed);
    if (failed && failed != asio::error::would_block)
    {
        close();
        return;
    }
    sent_ += size;
    if (size > 0)
    {
        last_write_time_ = server_.time_.now();
    }
    if (sent_ == unsent_.size())
    {
        drop_output();
        after_write();
        return;
    }
    writing_ = true;
    unsent_charge_.resize(unsent_.capacity());
    socket_.async_wait(asio::ip::tcp::socket::wait_write,
                       [self = shared_from_this()](asio::error_code const& e)
                       {
                           if (!e && !self->closed_)
                           {
                               self->continue_write();
                           }
                       });
}

void server_connection::continue_write()
{
    flush();
    if (!writing_ && !closed_)
    {
        process();
        wait_readable();
    }
}

void server_connection::drop_output()
{
    writing_ = false;
    free_memory(unsent_);
    unsent_charge_.resize(0);
}

void server_connection::after_write()
{
    if (!close_after_response_ || exchange_ != 0)
    {
        return;
    }
    // Closing a socket with unread input would reset the connection, and the
    // client could lose the response. Hence only the send side is shut down
    // and the client closes first.
    lingering_ = true;
    phase_start_ = server_.time_.now();
    drop_input();
    asio::error_code ignored;
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    wait_readable();
}

void server_connection::sweep(time_point now,
                              serving::edge_limits const& limits)
{
    if (writing_ && now - phase_start_ >= limits.write_timeout)
    {
        close();
        return;
    }
    if (exchange_ != 0 || closed_ || writing_)
    {
        return;
    }
    if (lingering_)
    {
        if (now - phase_start_ >= linger_timeout)
        {
            close();
        }
        return;
    }
    if (reader_.state() == message_reader::progress::idle)
    {
        if (now - phase_start_ >= limits.idle_timeout)
        {
            close();
        }
    }
    else if (is_overdue(now, limits))
    {
        refuse(error_kind::request_timeout);
    }
}

bool server_connection::is_overdue(time_point now,
                                   serving::edge_limits const& limits) const
{
    bool const in_head = reader_.state() == message_reader::progress::head;
    return now - phase_start_ >= limits.message_timeout ||
           (in_head ? now - phase_start_ >= limits.header_timeout
                    : now - last_byte_time_ >= limits.idle_timeout);
}

void server_connection::release()
{
    closed_ = true;
    asio::error_code ignored;
    socket_.close(ignored);
    drop_input();
    drop_output();
    charge_.resize(0);
    slot_.release();
}

void server_connection::close()
{
    if (closed_)
    {
        return;
    }
    release();
    if (exchange_ != 0)
    {
        server_.exchanges_.erase(exchange_);
        exchange_ = 0;
    }
    // The server drops its reference in a later event loop callback: callers
    // up the stack still use this object, and sweep() may be iterating over
    // the connections.
    asio::post(socket_.get_executor(), [self = shared_from_this()]
               { self->server_.connections_.erase(self.get()); });
}

} // namespace kumquatramp::eventloop
