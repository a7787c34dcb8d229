// Binds a node's sends to the pool of connections.
#include <algorithm>
#include <asio/dispatch.hpp>
#include <asio/post.hpp>
#include <eventloop/http_message.hpp>
#include <serving/target.hpp>
#include <transport/socket_address.hpp>
#include <transport/target_client.hpp>
#include <transport/target_events.hpp>
#include <transport/target_exchange.hpp>

namespace kumquatramp
{

namespace
{

using eventloop::http_message;
using eventloop::send_outcome;

/// How long a target may take to end a send that it was told to drop.
constexpr duration withdrawal_grace = 100ms;
/// How long it may take to be told.
constexpr duration withdrawal_timeout = 200ms;
/// How often idle connections and connects in progress are looked at.
constexpr duration sweep_every = 100ms;

} // namespace

target_client::target_client(target_events& events, clock const& time,
                             asio::io_context& loop)
    : events_(events)
    , time_(time)
    , loop_(loop)
    , expiry_(loop)
    , sweep_(loop)
    , pool_(loop, time, *this)
{
    tend();
}

target_client::~target_client() = default;

void target_client::send(send_attempt attempt, std::string trace)
{
    asio::dispatch(loop_, [this, attempt = std::move(attempt),
                           trace = std::move(trace)]() mutable
                   { start(std::move(attempt), std::move(trace)); });
}

void target_client::cancel(attempt_id const& id)
{
    asio::dispatch(loop_, [this, id] { withdraw(id); });
}

void target_client::set_connections(kumquatramp::set_connections const& wanted)
{
    asio::dispatch(loop_, [this, wanted] { keep(wanted); });
}

void target_client::stop()
{
    asio::post(loop_,
               [this]
               {
                   stopped_ = true;
                   sweep_.cancel();
                   expiry_.cancel();
                   pool_.close_all();
               });
}

target_client::lane& target_client::lane_to(std::string const& address,
                                            target_name const& name)
{
    lane& l = lanes_[address];
    if (!l.to)
    {
        l.to = std::make_shared<serving::target>();
        l.to->record.id = address;
        l.to->record.address = address;
    }
    l.name = name;
    return l;
}

void target_client::keep(kumquatramp::set_connections const& wanted)
{
    if (stopped_ || !parse_socket_address(wanted.address))
    {
        return;
    }
    lane& l = lane_to(wanted.address, wanted.target);
    l.limit = static_cast<int>(wanted.most);
    pool_.keep(l.to, wanted.most, wanted.warm);
}

void target_client::start(send_attempt attempt, std::string trace)
{
    if (stopped_ || !parse_socket_address(attempt.address))
    {
        refuse(attempt.id);
        return;
    }
    lane& l = lane_to(attempt.address, attempt.target);
    if (l.limit <= 0)
    {
        refuse(attempt.id);
        return;
    }
    time_point const deadline = attempt.deadline;
    launch({.attempt = std::move(attempt),
            .trace = std::move(trace),
            .to = l.to,
            .expires = deadline},
           l.limit);
}

void target_client::launch(sending wanted, int limit)
{
    handle const id = ++last_handle_;
    serving::attempt_order const order{.attempt = id,
                                       .request = id,
                                       .to = wanted.to,
                                       .connection_limit = limit,
                                       .deadline = wanted.expires,
                                       .repeatable = wanted.withdrawal ||
                                                     wanted.attempt.idempotent};
    if (!wanted.withdrawal)
    {
        handles_[wanted.attempt.id] = id;
    }
    auto& s = sendings_.emplace(id, std::move(wanted)).first->second;
    set_expiry(id, s, s.expires);
    pool_.start(order, false);
}

void target_client::refuse(attempt_id const& id)
{
    target_reply reply;
    reply.id = id;
    reply.outcome = attempt_outcome::not_sent;
    asio::post(loop_, [this, reply = std::move(reply)]
               { events_.on_target_reply(reply); });
}

void target_client::withdraw(attempt_id const& id)
{
    auto const known = handles_.find(id);
    if (known == handles_.end() || pool_.withdraw(known->second))
    {
        return;
    }
    sending& s = sendings_.at(known->second);
    time_point const now = time_.now();
    s.withdrawn = true;
    set_expiry(known->second, s, std::min(s.expires, now + withdrawal_grace));
    sending told{.attempt = {},
                 .trace = {},
                 .to = s.to,
                 .expires = now + withdrawal_timeout,
                 .withdrawal = true};
    told.attempt.id = id;
    launch(std::move(told), lanes_.at(s.to->record.address).limit);
}

void target_client::set_expiry(handle attempt, sending& s, time_point at)
{
    expiries_.erase({s.expires, attempt});
    s.expires = at;
    expiries_.emplace(at, attempt);
    if (expiries_.begin()->second == attempt)
    {
        arm();
    }
}

void target_client::arm()
{
    if (expiries_.empty() || stopped_)
    {
        return;
    }
    time_point const due = expiries_.begin()->first;
    expiry_.expires_after(std::max<duration>(due - time_.now(), 0ns));
    expiry_.async_wait(
        [this](asio::error_code const& cancelled)
        {
            if (!cancelled)
            {
                expire();
            }
        });
}

void target_client::expire()
{
    time_point const now = time_.now();
    while (!expiries_.empty() && expiries_.begin()->first <= now)
    {
        handle const id = expiries_.begin()->second;
        expiries_.erase(expiries_.begin());
        sendings_.at(id).timed_out = true;
        pool_.abandon(id);
    }
    arm();
}

void target_client::tend()
{
    sweep_.expires_after(sweep_every);
    sweep_.async_wait(
        [this](asio::error_code const& cancelled)
        {
            if (!cancelled && !stopped_)
            {
                pool_.sweep();
                tend();
            }
        });
}

std::string target_client::request_bytes(handle attempt)
{
    auto const found = sendings_.find(attempt);
    if (found == sendings_.end())
    {
        return {};
    }
    sending const& s = found->second;
    time_point const now = time_.now();
    if (s.withdrawal)
    {
        return withdrawal_bytes(s.attempt.id, s.to->record.address);
    }
    if (now >= s.attempt.deadline || !events_.may_send(s.attempt.id))
    {
        return {};
    }
    return execution_bytes(s.attempt, s.trace, now);
}

bool target_client::matches_request(handle attempt, http_message const& answer)
{
    auto const found = sendings_.find(attempt);
    if (found == sendings_.end() || found->second.withdrawal)
    {
        return true;
    }
    sending& s = found->second;
    s.answer = read_target_answer(s.attempt, answer);
    return s.answer->outcome != attempt_outcome::malformed;
}

void target_client::on_end(handle attempt, send_outcome outcome,
                           http_message* /*answer*/, char const* /*cause*/)
{
    auto const found = sendings_.find(attempt);
    if (found == sendings_.end())
    {
        return;
    }
    sending const s = std::move(found->second);
    sendings_.erase(found);
    expiries_.erase({s.expires, attempt});
    if (s.withdrawal)
    {
        return;
    }
    handles_.erase(s.attempt.id);
    target_reply reply;
    if (s.answer)
    {
        reply = *s.answer;
    }
    reply.id = s.attempt.id;
    reply.outcome = outcome_of(outcome, s.answer, {s.withdrawn, s.timed_out});
    events_.on_target_reply(std::move(reply));
}

void target_client::on_connection_lost(serving::target const& to)
{
    auto const l = lanes_.find(to.record.address);
    if (l != lanes_.end() && !stopped_)
    {
        events_.on_connection_lost(l->second.name);
    }
}

} // namespace kumquatramp
