// Runs a node's sends on the pool of target connections.
#include <algorithm>
#include <asio/dispatch.hpp>
#include <asio/post.hpp>
#include <eventloop/http_message.hpp>
#include <eventloop/outgoing_request.hpp>
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

/// How long a target may take to answer a send after its cancellation.
constexpr duration withdrawal_grace = 100ms;
/// Timeout of the cancel request itself.
constexpr duration withdrawal_timeout = 200ms;
/// How often idle connections and connects in progress are checked.
constexpr duration sweep_interval = 100ms;

} // namespace

target_client::target_client(target_events& events, clock const& time,
                             asio::io_context& loop)
    : events_(events)
    , time_(time)
    , loop_(loop)
    , expiry_timer_(loop)
    , sweep_timer_(loop)
    , pool_(loop, time, *this)
{
    schedule_sweep();
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
                   sweep_timer_.cancel();
                   expiry_timer_.cancel();
                   pool_.close_all();
               });
}

target_client::target_endpoint&
target_client::endpoint_for(std::string const& address, target_name const& name)
{
    target_endpoint& endpoint = endpoints_[address];
    if (!endpoint.to)
    {
        endpoint.to = std::make_shared<serving::target>();
        endpoint.to->record.id = address;
        endpoint.to->record.address = address;
    }
    endpoint.name = name;
    return endpoint;
}

void target_client::keep(kumquatramp::set_connections const& wanted)
{
    if (stopped_ || !parse_socket_address(wanted.address))
    {
        return;
    }
    target_endpoint& endpoint = endpoint_for(wanted.address, wanted.target);
    endpoint.limit = static_cast<int>(wanted.max_connections);
    pool_.keep(endpoint.to, wanted.max_connections, wanted.preopened);
}

void target_client::start(send_attempt attempt, std::string trace)
{
    if (stopped_ || !parse_socket_address(attempt.address))
    {
        refuse(attempt.id);
        return;
    }
    target_endpoint& endpoint = endpoint_for(attempt.address, attempt.target);
    if (endpoint.limit <= 0)
    {
        refuse(attempt.id);
        return;
    }
    time_point const deadline = attempt.deadline;
    launch({.attempt = std::move(attempt),
            .trace = std::move(trace),
            .to = endpoint.to,
            .expires = deadline},
           endpoint.limit);
}

void target_client::launch(pending_send wanted, int limit)
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
    auto& pending = pending_sends_.emplace(id, std::move(wanted)).first->second;
    set_expiry(id, pending, pending.expires);
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
    pending_send& pending = pending_sends_.at(known->second);
    time_point const now = time_.now();
    pending.withdrawn = true;
    set_expiry(known->second, pending,
               std::min(pending.expires, now + withdrawal_grace));
    pending_send cancellation{.attempt = {},
                              .trace = {},
                              .to = pending.to,
                              .expires = now + withdrawal_timeout,
                              .withdrawal = true};
    cancellation.attempt.id = id;
    launch(std::move(cancellation),
           endpoints_.at(pending.to->record.address).limit);
}

void target_client::set_expiry(handle attempt, pending_send& pending,
                               time_point at)
{
    expiries_.erase({pending.expires, attempt});
    pending.expires = at;
    expiries_.emplace(at, attempt);
    if (expiries_.begin()->second == attempt)
    {
        arm_expiry_timer();
    }
}

void target_client::arm_expiry_timer()
{
    if (expiries_.empty() || stopped_)
    {
        return;
    }
    time_point const due = expiries_.begin()->first;
    expiry_timer_.expires_after(std::max<duration>(due - time_.now(), 0ns));
    expiry_timer_.async_wait(
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
        pending_sends_.at(id).timed_out = true;
        pool_.abandon(id);
    }
    arm_expiry_timer();
}

void target_client::schedule_sweep()
{
    sweep_timer_.expires_after(sweep_interval);
    sweep_timer_.async_wait(
        [this](asio::error_code const& cancelled)
        {
            if (!cancelled && !stopped_)
            {
                pool_.sweep();
                schedule_sweep();
            }
        });
}

eventloop::outgoing_request target_client::serialize_request(handle attempt)
{
    auto const found = pending_sends_.find(attempt);
    if (found == pending_sends_.end())
    {
        return {};
    }
    pending_send const& pending = found->second;
    time_point const now = time_.now();
    if (pending.withdrawal)
    {
        return {serialize_cancel_request(pending.attempt.id,
                                         pending.to->record.address)};
    }
    if (now >= pending.attempt.deadline ||
        !events_.may_send(pending.attempt.id))
    {
        return {};
    }
    return {serialize_execute_request(pending.attempt, pending.trace, now)};
}

bool target_client::matches_request(handle attempt, http_message const& answer)
{
    auto const found = pending_sends_.find(attempt);
    if (found == pending_sends_.end() || found->second.withdrawal)
    {
        return true;
    }
    pending_send& pending = found->second;
    pending.answer = read_target_answer(pending.attempt, answer);
    return pending.answer->outcome != attempt_outcome::malformed;
}

void target_client::on_end(handle attempt, send_outcome outcome,
                           http_message* /*answer*/, char const* /*cause*/,
                           serving::connection_id /*connection*/)
{
    auto const found = pending_sends_.find(attempt);
    if (found == pending_sends_.end())
    {
        return;
    }
    pending_send const pending = std::move(found->second);
    pending_sends_.erase(found);
    expiries_.erase({pending.expires, attempt});
    if (pending.withdrawal)
    {
        return;
    }
    handles_.erase(pending.attempt.id);
    target_reply reply;
    if (pending.answer)
    {
        reply = *pending.answer;
    }
    reply.id = pending.attempt.id;
    reply.outcome = outcome_of(outcome, pending.answer,
                               {pending.withdrawn, pending.timed_out});
    events_.on_target_reply(std::move(reply));
}

void target_client::on_connection_lost(serving::target const& to)
{
    auto const endpoint = endpoints_.find(to.record.address);
    if (endpoint != endpoints_.end() && !stopped_)
    {
        events_.on_connection_lost(endpoint->second.name);
    }
}

} // namespace kumquatramp
