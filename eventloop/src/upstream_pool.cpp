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
/// Maximum length of the queue of one target, per allowed connection.
constexpr std::size_t waiting_per_connection = 4;
/// A request that must not be repeated is sent only on a connection that was
/// used less than 1/n of its idle limit ago: the target may already be closing
/// one that has been idle for longer.
constexpr int fresh_share = 4;
/// Minimum interval between attempts to open connections in advance.
constexpr duration warm_up_pause = 500ms;

using state = upstream_connection::state;

} // namespace

struct upstream_pool::lane
{
    std::shared_ptr<serving::target> to;
    std::vector<std::shared_ptr<upstream_connection>> connections;
    std::deque<order_state> waiting;
    std::size_t warm = 0; ///< connections to open in advance
    /// Idle connections are closed while there are more connections than this.
    std::size_t limit = std::numeric_limits<std::size_t>::max();
    time_point next_warm_up{};
    bool loss_told = false;
};

upstream_pool::upstream_pool(asio::io_context& loop, clock const& time,
                             upstream_client& client)
    : loop_(loop)
    , time_(time)
    , client_(client)
{
}

upstream_pool::~upstream_pool() = default;

upstream_pool::lane&
upstream_pool::lane_to(std::shared_ptr<serving::target> const& to)
{
    auto& entry = lanes_[to->record.id];
    if (!entry)
    {
        entry = std::make_unique<lane>();
    }
    lane& l = *entry;
    if (l.to != to)
    {
        // A new incarnation of the target: idle connections lead to the
        // previous one.
        auto const old = l.connections;
        for (auto const& c : old)
        {
            if (c->now() == state::idle)
            {
                c->close();
            }
        }
        l.to = to;
    }
    return l;
}

void upstream_pool::start(serving::attempt_order const& order, bool no_body)
{
    lane& l = lane_to(order.to);
    auto const limit = static_cast<std::size_t>(order.connection_limit);
    if (l.waiting.size() >= limit * waiting_per_connection)
    {
        finish_later(order.attempt, "no free connection and the queue is full");
        return;
    }
    l.waiting.push_back({order, no_body});
    dispatch(l);
}

void upstream_pool::dispatch(lane& l)
{
    time_point const now = time_.now();
    while (!l.waiting.empty())
    {
        order_state& first = l.waiting.front();
        std::shared_ptr<upstream_connection> idle;
        std::shared_ptr<upstream_connection> stale;
        for (auto const& c : l.connections)
        {
            if (c->now() != state::idle || now >= c->idle_until())
            {
                continue;
            }
            bool const fresh = first.order.repeatable ||
                               now - c->since() < c->idle_limit() / fresh_share;
            auto& best = fresh ? idle : stale;
            if (!best || c->since() > best->since())
            {
                best = c;
            }
        }
        if (idle)
        {
            order_state order = std::move(first);
            l.waiting.pop_front();
            on_[order.order.attempt] = idle.get();
            idle->send(std::move(order));
            continue;
        }
        auto const limit =
            static_cast<std::size_t>(first.order.connection_limit);
        if (l.connections.size() >= limit && stale)
        {
            stale->close();
        }
        if (l.connections.size() >= limit)
        {
            return;
        }
        order_state order = std::move(first);
        l.waiting.pop_front();
        open(l, std::move(order));
    }
}

void upstream_pool::open(lane& l, order_state order)
{
    auto connection =
        std::make_shared<upstream_connection>(*this, l.to->record.id);
    l.connections.push_back(connection);
    ++opened_;
    auto const address = parse_endpoint(l.to->record.address);
    if (order.order.to)
    {
        on_[order.order.attempt] = connection.get();
        connection->connect(address, std::move(order));
    }
    else
    {
        connection->connect(address, std::nullopt);
    }
}

void upstream_pool::keep(std::shared_ptr<serving::target> const& to,
                         std::size_t limit, std::size_t warm)
{
    lane& l = lane_to(to);
    l.limit = limit;
    l.warm = std::min(warm, limit);
    tend(l);
}

void upstream_pool::tend(lane& l)
{
    auto const connections = l.connections;
    for (auto const& c : connections)
    {
        if (l.connections.size() > l.limit && c->now() == state::idle)
        {
            c->close();
        }
    }
    time_point const now = time_.now();
    if (l.connections.size() >= l.warm || now < l.next_warm_up)
    {
        return;
    }
    l.next_warm_up = now + warm_up_pause;
    while (l.connections.size() < l.warm)
    {
        open(l, {});
    }
}

void upstream_pool::lost(std::string const& lane)
{
    auto const found = lanes_.find(lane);
    if (found != lanes_.end() && !found->second->loss_told)
    {
        found->second->loss_told = true;
        auto const to = found->second->to;
        client_.on_connection_lost(*to);
    }
}

void upstream_pool::stands(std::string const& lane)
{
    auto const found = lanes_.find(lane);
    if (found != lanes_.end())
    {
        found->second->loss_told = false;
    }
}

bool upstream_pool::withdraw(serving::attempt_handle attempt)
{
    if (auto const found = on_.find(attempt); found != on_.end())
    {
        if (!found->second->withdraw())
        {
            return false;
        }
        finish_later(attempt, "");
        return true;
    }
    for (auto const& [id, l] : lanes_)
    {
        auto const waiting = std::find_if(
            l->waiting.begin(), l->waiting.end(),
            [&](order_state const& o) { return o.order.attempt == attempt; });
        if (waiting != l->waiting.end())
        {
            l->waiting.erase(waiting);
            finish_later(attempt, "");
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
    auto const found = on_.find(attempt);
    if (found == on_.end())
    {
        return;
    }
    // The engine may be the caller and must not be called back from within
    // its own call, so the end is reported asynchronously.
    auto const connection = found->second->shared_from_this();
    on_.erase(found);
    connection->close();
    asio::post(loop_,
               [this, attempt]
               {
                   client_.on_end(attempt, send_outcome::broken, nullptr,
                                  "attempt abandoned");
               });
}

void upstream_pool::close_all()
{
    std::vector<serving::attempt_handle> attempts;
    std::vector<std::shared_ptr<upstream_connection>> connections;
    for (auto const& [id, l] : lanes_)
    {
        l->warm = 0;
        for (auto const& o : l->waiting)
        {
            attempts.push_back(o.order.attempt);
        }
        connections.insert(connections.end(), l->connections.begin(),
                           l->connections.end());
    }
    for (auto const& [attempt, connection] : on_)
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
                           send_outcome outcome, http_message* answer,
                           char const* cause)
{
    if (on_.erase(attempt) > 0)
    {
        client_.on_end(attempt, outcome, answer, cause);
    }
}

void upstream_pool::finish_later(serving::attempt_handle attempt,
                                 char const* cause)
{
    on_.erase(attempt);
    asio::post(
        loop_, [this, attempt, cause]
        { client_.on_end(attempt, send_outcome::not_sent, nullptr, cause); });
}

void upstream_pool::forget(upstream_connection* connection)
{
    auto const found = lanes_.find(connection->lane());
    if (found != lanes_.end())
    {
        std::erase_if(found->second->connections,
                      [&](auto const& c) { return c.get() == connection; });
    }
}

void upstream_pool::sweep()
{
    time_point const now = time_.now();
    for (auto it = lanes_.begin(); it != lanes_.end();)
    {
        lane& l = *it->second;
        auto const connections = l.connections;
        for (auto const& c : connections)
        {
            if (c->now() == state::idle &&
                (now >= c->idle_until() ||
                 l.to->listed == serving::listing::gone))
            {
                c->close();
            }
            else if (c->now() == state::connecting &&
                     now - c->since() >= connect_timeout)
            {
                c->expire();
            }
        }
        tend(l);
        if (!l.waiting.empty())
        {
            dispatch(l);
        }
        bool const empty =
            l.connections.empty() && l.waiting.empty() && l.warm == 0;
        it = empty ? lanes_.erase(it) : std::next(it);
    }
}

pool_stats upstream_pool::stats() const
{
    pool_stats f;
    f.opened = opened_;
    for (auto const& [id, l] : lanes_)
    {
        f.open += l->connections.size();
        f.idle += static_cast<std::size_t>(std::count_if(
            l->connections.begin(), l->connections.end(),
            [](auto const& c) { return c->now() == state::idle; }));
    }
    return f;
}

} // namespace kumquatramp::eventloop
