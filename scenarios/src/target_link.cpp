// A host's connection pool to one target.
#include <algorithm>
#include <scenarios/fake_network.hpp>
#include <scenarios/fake_target.hpp>
#include <scenarios/host_driver.hpp>
#include <scenarios/target_link.hpp>

namespace kumquatramp::scenarios
{

namespace
{

constexpr duration connect_timeout = 1s;

// Time the driver takes to report to the node that an attempt ended without a
// reply, e.g. because it could not be sent.
constexpr duration local_delay = 50us;

} // namespace

target_link::target_link(host_driver& host, fake_target& target)
    : host_(host)
    , target_(target)
    , generation_(target.generation())
{
}

void target_link::set_limits(std::uint32_t max_connections,
                             std::uint32_t preopened)
{
    max_connections_ = max_connections;
    preopened_ = preopened;
    while (idle_ > 0 && total_connections() > max_connections_)
    {
        --idle_;
        close_one(generation_);
    }
    preopen();
    dispatch_waiting();
}

void target_link::send(send_attempt const& attempt)
{
    pending_.emplace(attempt.id, pending{attempt, false, 0});
    waiting_.push_back(attempt.id);
    host_.parts_.queue.at(
        attempt.deadline - host_.clock_offset_,
        host_.on_host([this, id = attempt.id] { on_deadline(id); }));
    dispatch_waiting();
}

void target_link::cancel(attempt_id const& id)
{
    auto const found = pending_.find(id);
    if (found == pending_.end())
    {
        return;
    }
    if (!found->second.sent)
    {
        end(id, attempt_outcome::not_sent);
        return;
    }
    host_.parts_.network.send(host_.name().value(), target_.name().value(),
                              [&target = target_, id] { target.cancel(id); });
}

void target_link::on_restart(std::uint32_t generation)
{
    if (generation <= generation_)
    {
        return;
    }
    bool const held_any = idle_ + busy_ > 0;
    generation_ = generation;
    idle_ = 0;
    busy_ = 0;
    std::vector<attempt_id> broken;
    for (auto const& [id, entry] : pending_)
    {
        if (entry.sent && entry.generation < generation)
        {
            broken.push_back(id);
        }
    }
    if (held_any)
    {
        host_.node()->on_connection_lost(target_.name(), host_.now());
    }
    for (auto const& id : broken)
    {
        end(id, attempt_outcome::broken);
    }
    preopen();
    dispatch_waiting();
}

void target_link::close()
{
    for (auto left = idle_ + busy_; left > 0; --left)
    {
        close_one(generation_);
    }
}

void target_link::open()
{
    ++opening_;
    // Set once this host has seen the connection open, fail or time out.
    auto const ended = std::make_shared<bool>(false);
    auto const on_connect_result =
        [this, ended](bool opened, std::uint32_t generation)
    {
        if (*ended)
        {
            close_one(generation);
            return;
        }
        *ended = true;
        on_opened(opened, generation);
    };
    auto& parts = host_.parts_;
    auto& target = target_;
    auto& host = host_;
    auto const connect_request =
        [on_connect_result, &parts, &target, &host, life = host_.life()]
    {
        auto const generation = target.generation();
        if (!target.open_connection())
        {
            parts.network.send(
                target.name().value(), host.name().value(),
                host.on_host([=] { on_connect_result(false, generation); },
                             life));
            return;
        }
        auto const connect_reply = [=, &host, &target]
        {
            if (host.life() != life || !host.alive())
            {
                target.close_connection(generation);
                return;
            }
            host.on_host([=] { on_connect_result(true, generation); }, life)();
        };
        parts.queue.after(target.behaviour().connect_cost,
                          [=, &parts, &target, &host]
                          {
                              parts.network.send(target.name().value(),
                                                 host.name().value(),
                                                 connect_reply);
                          });
    };
    parts.network.send(host.name().value(), target.name().value(),
                       connect_request);
    parts.queue.after(connect_timeout, host.on_host(
                                           [this, ended]
                                           {
                                               if (!*ended)
                                               {
                                                   *ended = true;
                                                   on_opened(false,
                                                             generation_);
                                               }
                                           }));
}

void target_link::on_opened(bool opened, std::uint32_t generation)
{
    --opening_;
    if (opened && generation >= generation_)
    {
        on_restart(generation);
        ++idle_;
    }
    else if (!waiting_.empty())
    {
        end(waiting_.front(), attempt_outcome::connect_failed);
    }
    if (total_connections() > max_connections_ && idle_ > 0)
    {
        --idle_;
        close_one(generation_);
    }
    dispatch_waiting();
}

void target_link::preopen()
{
    while (total_connections() < std::min(preopened_, max_connections_))
    {
        open();
    }
}

void target_link::dispatch_waiting()
{
    while (!waiting_.empty() && idle_ > 0)
    {
        auto const id = waiting_.front();
        waiting_.pop_front();
        auto const found = pending_.find(id);
        if (found != pending_.end())
        {
            send_now(found->second);
        }
    }
    while (opening_ < waiting_.size() && total_connections() < max_connections_)
    {
        open();
    }
    if (max_connections_ == 0)
    {
        for (auto const& id : std::deque(waiting_))
        {
            end(id, attempt_outcome::not_sent);
        }
    }
}

void target_link::send_now(pending& entry)
{
    auto const& attempt = entry.attempt;
    if (!host_.node()->may_send(attempt.id, host_.now()))
    {
        end(attempt_id(attempt.id), attempt_outcome::not_sent);
        return;
    }
    --idle_;
    ++busy_;
    entry.sent = true;
    entry.generation = generation_;
    auto& parts = host_.parts_;
    parts.log.sends.push_back(
        {parts.queue.now(), target_.name(), host_.name()});
    target_call call{attempt.id,
                     attempt.shard,
                     attempt.snapshot,
                     attempt.request_id,
                     *attempt.body,
                     attempt.deadline - host_.clock_offset_,
                     {}};
    auto& host = host_;
    auto& target = target_;
    auto const life = host_.life();
    call.reply = [this, &parts, &host, &target, life](target_reply reply)
    {
        parts.network.send(target.name().value(), host.name().value(),
                           host.on_host([this, reply = std::move(reply)]
                                        { on_reply(reply); },
                                        life));
    };
    parts.network.send(
        host.name().value(), target.name().value(),
        [&target, call = std::move(call), generation = generation_]
        {
            if (target.generation() == generation)
            {
                target.receive(call);
            }
        });
}

void target_link::on_reply(target_reply reply)
{
    auto const found = pending_.find(reply.id);
    if (found == pending_.end())
    {
        return; // already ended, e.g. closed at the deadline
    }
    if (found->second.generation == generation_)
    {
        --busy_;
        ++idle_;
    }
    pending_.erase(found);
    host_.attempts_.erase(reply.id);
    host_.call_node(
        [&](node& node, action_list& out)
        { node.on_target_reply(std::move(reply), host_.now(), out); });
    set_limits(max_connections_, preopened_);
}

void target_link::on_deadline(attempt_id const& id)
{
    auto const found = pending_.find(id);
    if (found == pending_.end())
    {
        return;
    }
    bool const sent = found->second.sent;
    if (sent && found->second.generation == generation_)
    {
        --busy_;
        close_one(generation_);
    }
    end(id, sent ? attempt_outcome::timed_out : attempt_outcome::not_sent);
    preopen();
    dispatch_waiting();
}

void target_link::end(attempt_id const& id, attempt_outcome outcome)
{
    if (pending_.erase(id) == 0)
    {
        return;
    }
    std::erase(waiting_, id);
    host_.attempts_.erase(id);
    target_reply reply;
    reply.id = id;
    reply.outcome = outcome;
    host_.parts_.queue.after(
        local_delay,
        host_.on_host(
            [&host = host_, reply]
            {
                host.call_node(
                    [&](node& node, action_list& out)
                    { node.on_target_reply(reply, host.now(), out); });
            }));
}

void target_link::close_one(std::uint32_t generation)
{
    host_.parts_.network.send(host_.name().value(), target_.name().value(),
                              [&target = target_, generation]
                              { target.close_connection(generation); });
}

} // namespace kumquatramp::scenarios
