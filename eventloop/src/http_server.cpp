// Accepts connections and routes responses to them.
#include "details/server_connection.hpp"
#include "details/turn_queue.hpp"
#include <algorithm>
#include <eventloop/http_server.hpp>
#include <eventloop/process_budget.hpp>
#include <eventloop/socket_options.hpp>
#include <vector>

namespace kumquatramp::eventloop
{

namespace
{

/// Pause after a failed accept: a lack of descriptors or memory lasts for a
/// while, and the pending connection would make accept fail again at once.
constexpr duration accept_retry_pause = 50ms;

/// Receive buffer of a connection. The kernel would let it grow to megabytes,
/// which count as this process's memory while they are unread.
constexpr int receive_buffer_bytes = 16384;

/// A connection is not closed to make room for others before this.
constexpr duration min_quiet_time = 1s;

} // namespace

http_server::http_server(asio::io_context& loop, clock const& time,
                         request_handler& handler, process_budget* budget)
    : loop_(loop)
    , time_(time)
    , handler_(handler)
    , budget_(budget)
    , acceptor_(loop)
    , accept_timer_(loop)
    , turns_(std::make_shared<turn_queue>(loop))
{
}

http_server::~http_server()
{
    turns_->clear();
    // The event loop may hold connections for longer than the server exists.
    for (auto const& [raw, connection] : connections_)
    {
        connection->release();
    }
}

std::uint16_t http_server::listen(asio::ip::tcp::endpoint const& at)
{
    acceptor_.open(at.protocol());
    acceptor_.set_option(asio::socket_base::reuse_address(true));
    // Accepted sockets inherit it. Where it cannot be set, the kernel's default
    // applies.
    asio::error_code ignored;
    acceptor_.set_option(
        asio::socket_base::receive_buffer_size(receive_buffer_bytes), ignored);
    acceptor_.bind(at);
    acceptor_.listen();
    accept();
    return acceptor_.local_endpoint().port();
}

void http_server::accept()
{
    acceptor_.async_accept(
        [this](asio::error_code const& failed, asio::ip::tcp::socket socket)
        {
            if (failed == asio::error::operation_aborted)
            {
                return;
            }
            if (failed)
            {
                ++accept_failures_;
                accept_timer_.expires_after(accept_retry_pause);
                accept_timer_.async_wait(
                    [this](asio::error_code const& cancelled)
                    {
                        if (!cancelled && acceptor_.is_open())
                        {
                            accept();
                        }
                    });
                return;
            }
            add_connection(std::move(socket));
            accept();
        });
}

void http_server::add_connection(asio::ip::tcp::socket socket)
{
    bool const full = connections_.size() >= limits_.connections;
    auto connection =
        std::make_shared<server_connection>(*this, std::move(socket));
    if (!connection->within_budget())
    {
        ++refused_connections_;
        return;
    }
    connections_.emplace(connection.get(), connection);
    connection->start();
    if (full)
    {
        connection->refuse(error_kind::overloaded);
    }
}

void http_server::stop_listening()
{
    asio::error_code ignored;
    acceptor_.close(ignored);
}

void http_server::set_limits(serving::edge_limits const& limits)
{
    limits_ = limits;
}

void http_server::respond(exchange_id exchange, std::string bytes, bool close)
{
    auto const found = exchanges_.find(exchange);
    if (found != exchanges_.end())
    {
        found->second->respond(std::move(bytes), close || closing_);
    }
}

bool http_server::client_has_left(exchange_id exchange) const
{
    auto const found = exchanges_.find(exchange);
    return found != exchanges_.end() && found->second->client_has_left();
}

void http_server::sweep()
{
    time_point const now = time_.now();
    for (auto const& [raw, connection] : connections_)
    {
        connection->sweep(now, limits_);
    }
    if (budget_->memory.is_short())
    {
        relieve_memory(now);
    }
    if (connection_shortage() > 0)
    {
        relieve_connections(now);
    }
}

void http_server::relieve_memory(time_point now)
{
    refuse_slow_requests(now);
    close_unread(now);
}

void http_server::close_unread(time_point now)
{
    std::vector<server_connection*> stalled;
    for (auto const& [raw, connection] : connections_)
    {
        if (connection->writes_stalled(now))
        {
            stalled.push_back(raw);
        }
    }
    std::sort(stalled.begin(), stalled.end(),
              [](server_connection const* a, server_connection const* b)
              { return a->unsent_bytes() > b->unsent_bytes(); });
    for (auto* const connection : stalled)
    {
        if (budget_->memory.shortage() == 0)
        {
            return;
        }
        ++closed_for_room_;
        connection->close();
    }
}

void http_server::refuse_slow_requests(time_point now)
{
    struct candidate
    {
        server_connection* connection;
        double weight; ///< bytes held x seconds
    };
    std::vector<candidate> candidates;
    for (auto const& [raw, connection] : connections_)
    {
        if (connection->receives_slowly(now))
        {
            candidates.push_back(
                {raw,
                 static_cast<double>(connection->request_bytes()) *
                     std::chrono::duration<double>(connection->request_age(now))
                         .count()});
        }
    }
    std::sort(candidates.begin(), candidates.end(),
              [](candidate const& a, candidate const& b)
              { return a.weight > b.weight; });
    for (auto const& c : candidates)
    {
        if (budget_->memory.shortage() == 0)
        {
            return;
        }
        c.connection->refuse_for_memory();
    }
}

std::size_t http_server::connection_shortage() const
{
    std::size_t const most = limits_.connections - limits_.connections / 10;
    return std::max(budget_->sockets.client_shortage(),
                    connections_.size() - std::min(connections_.size(), most));
}

void http_server::relieve_connections(time_point now)
{
    struct candidate
    {
        server_connection* connection;
        duration quiet;
    };
    std::vector<candidate> candidates;
    for (auto const& [raw, connection] : connections_)
    {
        if (auto const quiet = connection->quiet_time(now);
            quiet >= min_quiet_time)
        {
            candidates.push_back({raw, quiet});
        }
    }
    std::size_t const count =
        std::min(connection_shortage(), candidates.size());
    std::partial_sort(candidates.begin(),
                      candidates.begin() + static_cast<std::ptrdiff_t>(count),
                      candidates.end(),
                      [](candidate const& a, candidate const& b)
                      { return a.quiet > b.quiet; });
    candidates.resize(count);
    for (auto const& c : candidates)
    {
        ++closed_for_room_;
        c.connection->close();
    }
}

std::size_t http_server::unfinished_responses() const
{
    return exchanges_.size() +
           static_cast<std::size_t>(std::count_if(
               connections_.begin(), connections_.end(),
               [](auto const& entry) { return entry.second->is_writing(); }));
}

void http_server::close_all()
{
    auto const connections = connections_;
    for (auto const& [raw, connection] : connections)
    {
        connection->close();
    }
}

} // namespace kumquatramp::eventloop
