// Assigns requests to connections and manages the connections of each target.
#include "details/upstream_connection.hpp"
#include <algorithm>
#include <asio/post.hpp>
#include <deque>
#include <eventloop/socket_options.hpp>
#include <eventloop/upstream_pool.hpp>
#include <limits>
#include <serving/target.hpp>

namespace kumquatramp::eventloop
{

namespace
{

/// Limit on establishing a connection; a target in the same region takes a few
/// milliseconds.
constexpr duration connect_timeout = 500ms;
/// Limit on the memory of all responses in progress, heads and bodies; a host
/// may have little more than 100 MB.
constexpr std::size_t max_buffered_bytes = 32U << 20U;
/// Maximum length of the queue of one target, per allowed connection.
constexpr std::size_t max_waiting_per_connection = 4;
/// A request that must not be repeated is sent only on a connection that has
/// been idle for less than its idle limit divided by this: the target may
/// already be closing one that has been idle for longer.
constexpr int fresh_idle_divisor = 4;
/// Minimum interval between attempts to open connections in advance.
constexpr duration warm_up_interval = 500ms;

using state = upstream_connection::state;

} // namespace

struct upstream_pool::target_pool
{
    std::shared_ptr<serving::target> to;
    std::vector<std::shared_ptr<upstream_connection>> connections;
    std::deque<pending_send> waiting;
    std::size_t warm = 0; ///< connections to open in advance
    /// Idle connections are closed while there are more connections than this.
    std::size_t limit = std::numeric_limits<std::size_t>::max();
    time_point next_warm_up{};
    bool loss_reported = false;
};

upstream_pool::upstream_pool(asio::io_context& loop, clock const& time,
                             upstream_client& client, process_budget* budget)
    : loop_(loop)
    , time_(time)
    , client_(client)
    , budget_(budget)
{
}

upstream_pool::~upstream_pool()
{
    // The event loop may hold connections for longer than the pool exists.
    for (auto const& [id, pool] : target_pools_)
    {
        for (auto const& c : pool->connections)
        {
            c->release();
        }
    }
}

upstream_pool::target_pool&
upstream_pool::pool_for(std::shared_ptr<serving::target> const& to)
{
    auto& entry = target_pools_[to->record.id];
    if (!entry)
    {
        entry = std::make_unique<target_pool>();
    }
    target_pool& pool = *entry;
    if (pool.to != to)
    {
        // A new incarnation of the target: idle connections lead to the
        // previous one.
        auto const old = pool.connections;
        for (auto const& c : old)
        {
            if (c->current_state() == state::idle)
            {
                c->close();
            }
        }
        pool.to = to;
    }
    return pool;
}

void upstream_pool::start(serving::attempt_order const& order, bool no_body)
{
    target_pool& pool = pool_for(order.to);
    auto const limit = static_cast<std::size_t>(order.connection_limit);
    if (pool.waiting.size() >= limit * max_waiting_per_connection)
    {
        post_not_sent(order.attempt,
                      "no free connection and the queue is full");
        return;
    }
    pool.waiting.push_back({order, no_body});
    dispatch(pool);
}

void upstream_pool::dispatch(target_pool& pool)
{
    time_point const now = time_.now();
    while (!pool.waiting.empty())
    {
        pending_send& first = pool.waiting.front();
        std::shared_ptr<upstream_connection> idle;
        std::shared_ptr<upstream_connection> unusable;
        for (auto const& c : pool.connections)
        {
            if (c->current_state() != state::idle || now >= c->idle_until())
            {
                continue;
            }
            auto const& excluded = first.order.excluded_connections;
            bool const usable = (first.order.repeatable ||
                                 now - c->state_since() <
                                     c->idle_limit() / fresh_idle_divisor) &&
                                std::find(excluded.begin(), excluded.end(),
                                          c->id()) == excluded.end();
            auto& best = usable ? idle : unusable;
            if (!best || c->state_since() > best->state_since())
            {
                best = c;
            }
        }
        if (idle)
        {
            pending_send order = std::move(first);
            pool.waiting.pop_front();
            connection_by_attempt_[order.order.attempt] = idle.get();
            idle->send(std::move(order));
            continue;
        }
        auto const limit =
            static_cast<std::size_t>(first.order.connection_limit);
        if (pool.connections.size() >= limit && unusable)
        {
            unusable->close();
        }
        if (pool.connections.size() >= limit)
        {
            return;
        }
        if (!open(pool, first))
        {
            return;
        }
        pool.waiting.pop_front();
    }
}

bool upstream_pool::close_idle_connection()
{
    upstream_connection* oldest = nullptr;
    for (auto const& [id, pool] : target_pools_)
    {
        for (auto const& c : pool->connections)
        {
            if (c->current_state() == state::idle &&
                (oldest == nullptr || c->state_since() < oldest->state_since()))
            {
                oldest = c.get();
            }
        }
    }
    if (oldest == nullptr)
    {
        return false;
    }
    oldest->close();
    return true;
}

bool upstream_pool::open(target_pool& pool, pending_send& order)
{
    bool const needed = order.order.to != nullptr;
    auto const use = needed ? socket_use::target : socket_use::warm_target;
    if (!budget_->sockets.has_room(use) && !(needed && close_idle_connection()))
    {
        return false;
    }
    auto connection = std::make_shared<upstream_connection>(
        *this, pool.to->record.id, ++opened_);
    pool.connections.push_back(connection);
    auto const address = parse_endpoint(pool.to->record.address);
    if (needed)
    {
        connection_by_attempt_[order.order.attempt] = connection.get();
        connection->connect(address, std::move(order));
    }
    else
    {
        connection->connect(address, std::nullopt);
    }
    return true;
}

void upstream_pool::keep(std::shared_ptr<serving::target> const& to,
                         std::size_t limit, std::size_t warm)
{
    target_pool& pool = pool_for(to);
    pool.limit = limit;
    pool.warm = std::min(warm, limit);
    adjust_connections(pool);
}

void upstream_pool::adjust_connections(target_pool& pool)
{
    auto const connections = pool.connections;
    for (auto const& c : connections)
    {
        if (pool.connections.size() > pool.limit &&
            c->current_state() == state::idle)
        {
            c->close();
        }
    }
    time_point const now = time_.now();
    if (pool.connections.size() >= pool.warm || now < pool.next_warm_up)
    {
        return;
    }
    pool.next_warm_up = now + warm_up_interval;
    pending_send none;
    while (pool.connections.size() < pool.warm && open(pool, none))
    {
    }
}

void upstream_pool::handle_connection_lost(std::string const& target_id)
{
    auto const found = target_pools_.find(target_id);
    if (found != target_pools_.end() && !found->second->loss_reported)
    {
        found->second->loss_reported = true;
        auto const to = found->second->to;
        client_.on_connection_lost(*to);
    }
}

void upstream_pool::handle_connected(std::string const& target_id)
{
    auto const found = target_pools_.find(target_id);
    if (found != target_pools_.end())
    {
        found->second->loss_reported = false;
        auto const to = found->second->to;
        client_.on_connected(*to);
    }
}

void upstream_pool::handle_connect_failed(std::string const& target_id)
{
    auto const found = target_pools_.find(target_id);
    if (found != target_pools_.end())
    {
        auto const to = found->second->to;
        client_.on_connect_failed(*to);
    }
    handle_connection_lost(target_id);
}

bool upstream_pool::withdraw(serving::attempt_handle attempt)
{
    if (auto const found = connection_by_attempt_.find(attempt);
        found != connection_by_attempt_.end())
    {
        if (!found->second->withdraw())
        {
            return false;
        }
        post_not_sent(attempt, "");
        return true;
    }
    for (auto const& [id, pool] : target_pools_)
    {
        auto const waiting = std::find_if(
            pool->waiting.begin(), pool->waiting.end(),
            [&](pending_send const& o) { return o.order.attempt == attempt; });
        if (waiting != pool->waiting.end())
        {
            pool->waiting.erase(waiting);
            post_not_sent(attempt, "");
            return true;
        }
    }
    return false;
}

void upstream_pool::abandon(serving::attempt_handle attempt)
{
    if (withdraw(attempt))
    {
        return;
    }
    auto const found = connection_by_attempt_.find(attempt);
    if (found == connection_by_attempt_.end())
    {
        return;
    }
    // The engine may be the caller and must not be called back from within
    // its own call, so the end is reported asynchronously.
    auto const connection = found->second->shared_from_this();
    connection_by_attempt_.erase(found);
    connection->close();
    asio::post(loop_,
               [this, attempt]
               {
                   client_.on_end(attempt, send_outcome::broken, nullptr,
                                  "attempt abandoned", 0);
               });
}

void upstream_pool::close_all()
{
    std::vector<serving::attempt_handle> attempts;
    std::vector<std::shared_ptr<upstream_connection>> connections;
    for (auto const& [id, pool] : target_pools_)
    {
        pool->warm = 0;
        for (auto const& o : pool->waiting)
        {
            attempts.push_back(o.order.attempt);
        }
        connections.insert(connections.end(), pool->connections.begin(),
                           pool->connections.end());
    }
    for (auto const& [attempt, connection] : connection_by_attempt_)
    {
        attempts.push_back(attempt);
    }
    for (auto const attempt : attempts)
    {
        abandon(attempt);
    }
    for (auto const& c : connections)
    {
        c->close();
    }
}

void upstream_pool::finish(serving::attempt_handle attempt,
                           send_outcome outcome, char const* cause)
{
    if (connection_by_attempt_.erase(attempt) > 0)
    {
        client_.on_end(attempt, outcome, nullptr, cause, 0);
    }
}

void upstream_pool::finish_answered(serving::attempt_handle attempt,
                                    http_message& answer,
                                    serving::connection_id connection)
{
    if (connection_by_attempt_.erase(attempt) > 0)
    {
        client_.on_end(attempt, send_outcome::answered, &answer, "",
                       connection);
    }
}

void upstream_pool::post_not_sent(serving::attempt_handle attempt,
                                  char const* cause)
{
    connection_by_attempt_.erase(attempt);
    asio::post(loop_,
               [this, attempt, cause] {
                   client_.on_end(attempt, send_outcome::not_sent, nullptr,
                                  cause, 0);
               });
}

bool upstream_pool::exceeds_memory(std::size_t buffered_by_connection,
                                   bool has_room) const
{
    return (buffered_bytes_ > max_buffered_bytes || !has_room) &&
           buffered_by_connection * connection_by_attempt_.size() >=
               buffered_bytes_;
}

void upstream_pool::remove_connection(upstream_connection* connection)
{
    auto const found = target_pools_.find(connection->target_id());
    if (found != target_pools_.end())
    {
        std::erase_if(found->second->connections,
                      [&](auto const& c) { return c.get() == connection; });
    }
}

void upstream_pool::sweep()
{
    time_point const now = time_.now();
    for (auto it = target_pools_.begin(); it != target_pools_.end();)
    {
        target_pool& pool = *it->second;
        auto const connections = pool.connections;
        for (auto const& c : connections)
        {
            if (c->current_state() == state::idle &&
                (now >= c->idle_until() ||
                 pool.to->listed == serving::listing::gone))
            {
                c->close();
            }
            else if (c->current_state() == state::connecting &&
                     now - c->state_since() >= connect_timeout)
            {
                c->time_out_connect();
            }
        }
        adjust_connections(pool);
        if (!pool.waiting.empty())
        {
            dispatch(pool);
        }
        bool const empty =
            pool.connections.empty() && pool.waiting.empty() && pool.warm == 0;
        it = empty ? target_pools_.erase(it) : std::next(it);
    }
}

pool_stats upstream_pool::stats() const
{
    pool_stats f;
    f.opened = opened_;
    f.buffered_bytes = buffered_bytes_;
    for (auto const& [id, pool] : target_pools_)
    {
        f.open += pool->connections.size();
        f.idle += static_cast<std::size_t>(std::count_if(
            pool->connections.begin(), pool->connections.end(),
            [](auto const& c) { return c->current_state() == state::idle; }));
    }
    return f;
}

} // namespace kumquatramp::eventloop
