// Sends one request at a time and reads its response.
#include "details/upstream_connection.hpp"
#include "details/read_buffer.hpp"
#include <algorithm>
#include <array>
#include <asio/write.hpp>
#include <base/string_memory.hpp>
#include <charconv>
#include <eventloop/socket_options.hpp>

namespace kumquatramp::eventloop
{

namespace
{

/// Limits on a target's response, which keep the memory use of a small host in
/// bounds.
constexpr std::size_t max_response_header_bytes = 65536;
constexpr std::size_t max_response_body_bytes = 16U << 20U;
/// Limit on all bytes of a response, including interim responses and the
/// framing of chunks, which are not kept.
constexpr std::size_t max_response_bytes =
    max_response_header_bytes + 2 * max_response_body_bytes;

/// A larger response leaves memory to smaller ones.
constexpr std::size_t small_response_bytes = 16U << 10U;

constexpr int switching_protocols = 101;

/// Idle limit of a connection whose target has sent no Keep-Alive timeout.
constexpr duration default_idle_limit = 10s;
/// Factor applied to the Keep-Alive timeout that a target announces: part of it
/// has already elapsed when the next request arrives at the target.
constexpr double idle_limit_factor = 0.8;

} // namespace

upstream_connection::upstream_connection(upstream_pool& pool,
                                         std::string target_id,
                                         serving::connection_id id)
    : pool_(pool)
    , target_id_(std::move(target_id))
    , id_(id)
    , socket_(pool.loop_)
    , slot_(pool.budget_->sockets, socket_use::target)
    , response_charge_(pool.budget_->memory)
    , reader_(message_reader::kind::response, max_response_header_bytes,
              max_response_body_bytes)
    , state_since_(pool.time_.now())
    , idle_limit_(default_idle_limit)
{
}

void upstream_connection::connect(
    asio::ip::tcp::endpoint const& to,
    std::optional<upstream_pool::pending_send> order)
{
    has_current_send_ = order.has_value();
    if (order)
    {
        current_send_ = std::move(*order);
    }
    socket_.async_connect(
        to, [self = shared_from_this()](asio::error_code const& failed)
        { self->on_connected(failed); });
}

void upstream_connection::on_connected(asio::error_code const& failed)
{
    if (state_ == state::closed)
    {
        return;
    }
    if (failed)
    {
        fail_connect("connection refused");
        return;
    }
    set_common_options(socket_);
    state_ = state::idle;
    state_since_ = pool_.time_.now();
    pool_.handle_connected(target_id_);
    wait_readable();
    if (has_current_send_)
    {
        send(std::move(current_send_));
    }
    else
    {
        pool_.dispatch(*pool_.target_pools_.at(target_id_));
    }
}

void upstream_connection::time_out_connect()
{
    fail_connect("connection timed out");
}

void upstream_connection::fail_connect(char const* cause)
{
    auto const self = shared_from_this();
    bool const had_send = has_current_send_;
    auto const attempt = had_send ? release_attempt() : 0;
    pool_.handle_connect_failed(target_id_);
    close();
    if (had_send)
    {
        pool_.finish(attempt, send_outcome::unconnected, cause);
    }
}

bool upstream_connection::withdraw()
{
    if (state_ != state::connecting || !has_current_send_)
    {
        return false;
    }
    has_current_send_ = false;
    return true;
}

void upstream_connection::send(upstream_pool::pending_send order)
{
    current_send_ = std::move(order);
    has_current_send_ = true;
    serving::attempt_handle const attempt = current_send_.order.attempt;
    outgoing_request request = pool_.client_.serialize_request(attempt);
    if (request.empty())
    {
        release_attempt();
        pool_.post_not_sent(attempt, "");
        return;
    }
    state_ = state::busy;
    response_started_ = false;
    response_bytes_ = 0;
    reader_.reset(current_send_.no_body);
    std::array<asio::const_buffer, 2> const bytes{
        asio::buffer(request.head),
        request.body ? asio::buffer(*request.body) : asio::const_buffer()};
    asio::error_code failed;
    std::size_t const sent = socket_.write_some(bytes, failed);
    if (failed && failed != asio::error::would_block)
    {
        release_attempt();
        close();
        pool_.post_not_sent(attempt,
                            "connection closed before the request was sent");
        return;
    }
    if (sent == asio::buffer_size(bytes))
    {
        return;
    }
    outgoing_ = std::move(request);
    writing_ = true;
    std::size_t const head_sent = std::min(sent, outgoing_.head.size());
    std::size_t const body_sent = sent - head_sent;
    std::array<asio::const_buffer, 2> const unsent{
        asio::buffer(outgoing_.head) + head_sent,
        outgoing_.body ? asio::buffer(*outgoing_.body) + body_sent
                       : asio::const_buffer()};
    asio::async_write(
        socket_, unsent,
        [self = shared_from_this()](asio::error_code const& e, std::size_t)
        {
            self->writing_ = false;
            free_memory(self->outgoing_.head);
            self->outgoing_.body.reset();
            if (e && self->state_ != state::closed)
            {
                self->on_stream_end(false);
            }
        });
}

void upstream_connection::wait_readable()
{
    socket_.async_wait(asio::ip::tcp::socket::wait_read,
                       [self = shared_from_this()](asio::error_code const& e)
                       {
                           if (!e && self->state_ != state::closed)
                           {
                               self->on_readable();
                           }
                       });
}

void upstream_connection::on_readable()
{
    auto& buffer = read_buffer();
    asio::error_code failed;
    std::size_t const size = socket_.read_some(asio::buffer(buffer), failed);
    if (failed == asio::error::would_block)
    {
        wait_readable();
        return;
    }
    if (failed)
    {
        on_stream_end(failed == asio::error::eof);
        return;
    }
    on_bytes({buffer.data(), size});
    if (state_ != state::closed)
    {
        wait_readable();
    }
}

void upstream_connection::on_bytes(std::span<char const> bytes)
{
    if (state_ != state::busy)
    {
        // Unsolicited bytes cannot be attributed to any request.
        close();
        return;
    }
    response_started_ = true;
    while (!bytes.empty())
    {
        std::size_t const used = reader_.feed(bytes);
        bytes = bytes.subspan(used);
        if (reader_.failed())
        {
            on_stream_end(false);
            return;
        }
        if (!account(used) &&
            reader_.state() != message_reader::progress::complete)
        {
            on_stream_end(false, "response too large");
            return;
        }
        if (reader_.state() != message_reader::progress::complete)
        {
            return;
        }
        int const status = reader_.message().status;
        if (status >= 200)
        {
            break;
        }
        if (status == switching_protocols)
        {
            on_stream_end(false, "protocol switch that was not asked for");
            return;
        }
        reader_.reset(current_send_.no_body); // interim (1xx) response
    }
    if (reader_.state() == message_reader::progress::complete)
    {
        complete(bytes.empty() && !writing_ && reader_.message().keep_alive);
    }
}

bool upstream_connection::account(std::size_t received)
{
    response_bytes_ += received;
    std::size_t const kept = reader_.buffered_bytes();
    pool_.buffered_bytes_ += kept - response_charge_.bytes();
    bool const has_room = response_charge_.try_resize(
        kept,
        kept > small_response_bytes ? memory_use::large : memory_use::small);
    response_charge_.resize(kept);
    return response_bytes_ <= max_response_bytes &&
           !pool_.exceeds_memory(kept, has_room);
}

void upstream_connection::drop_response_charge()
{
    pool_.buffered_bytes_ -= response_charge_.bytes();
    response_charge_.resize(0);
}

void upstream_connection::on_stream_end(bool orderly, char const* cause)
{
    auto const self = shared_from_this();
    if (state_ == state::busy && orderly)
    {
        reader_.finish();
        if (reader_.state() == message_reader::progress::complete)
        {
            complete(false);
            return;
        }
    }
    bool const malformed = reader_.failed() && !orderly;
    bool const had_send = has_current_send_;
    auto const attempt = had_send ? release_attempt() : 0;
    if (state_ == state::idle)
    {
        pool_.handle_connection_lost(target_id_);
    }
    close();
    if (had_send)
    {
        pool_.finish(attempt,
                     response_started_ ? send_outcome::invalid_response
                                       : send_outcome::broken,
                     cause != nullptr ? cause
                     : malformed      ? "malformed response"
                     : orderly
                         ? "connection closed before the response was complete"
                         : "connection reset");
    }
}

void upstream_connection::complete(bool reusable)
{
    auto const self = shared_from_this();
    auto const attempt = release_attempt();
    http_message& answer = reader_.message();
    bool const matches = pool_.client_.matches_request(attempt, answer);
    update_idle_limit(answer);
    if (matches)
    {
        pool_.finish_answered(attempt, answer, id_);
    }
    else
    {
        pool_.finish(attempt, send_outcome::invalid_response,
                     "response to another request");
    }
    reader_.reset();
    if (state_ == state::closed)
    {
        return;
    }
    if (!reusable || !matches)
    {
        close();
        return;
    }
    state_ = state::idle;
    state_since_ = pool_.time_.now();
    pool_.dispatch(*pool_.target_pools_.at(target_id_));
}

void upstream_connection::update_idle_limit(http_message const& answer)
{
    constexpr std::string_view key = "timeout=";
    std::string_view const text = answer.header("Keep-Alive");
    auto const at = text.find(key);
    int seconds = 0;
    if (at == std::string_view::npos ||
        std::from_chars(text.data() + at + key.size(),
                        text.data() + text.size(), seconds)
                .ec != std::errc{})
    {
        return;
    }
    idle_limit_ = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(seconds * idle_limit_factor));
}

serving::attempt_handle upstream_connection::release_attempt()
{
    has_current_send_ = false;
    drop_response_charge();
    auto const attempt = current_send_.order.attempt;
    current_send_.order.to.reset();
    return attempt;
}

void upstream_connection::release()
{
    state_ = state::closed;
    asio::error_code ignored;
    socket_.close(ignored);
    response_charge_.resize(0);
    slot_.release();
}

void upstream_connection::close()
{
    if (state_ == state::closed)
    {
        return;
    }
    drop_response_charge();
    release();
    pool_.remove_connection(this);
}

} // namespace kumquatramp::eventloop
