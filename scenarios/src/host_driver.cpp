// Executes a node's actions over the simulated network, targets and platform.
#include <scenarios/fake_network.hpp>
#include <scenarios/fake_platform.hpp>
#include <scenarios/fake_target.hpp>
#include <scenarios/host_driver.hpp>
#include <scenarios/run_log.hpp>

namespace kumquatramp::scenarios
{

namespace
{

constexpr duration peer_timeout = 1s;
constexpr duration platform_timeout = 1s;

template <class... Cases>
struct overloaded_cases : Cases...
{
    using Cases::operator()...;
};

template <class... Cases>
overloaded_cases(Cases...) -> overloaded_cases<Cases...>;

} // namespace

host_driver::host_driver(run_parts const& parts, node_options options,
                         duration clock_offset, std::uint64_t seed)
    : parts_(parts)
    , options_(std::move(options))
    , clock_offset_(clock_offset)
    , random_(seed)
{
}

host_driver::~host_driver() = default;

bool host_driver::frozen() const noexcept
{
    return parts_.queue.now() < frozen_until_;
}

time_point host_driver::now() const
{
    return parts_.queue.now() + clock_offset_;
}

void host_driver::start()
{
    options_.life = incarnation{random_.next()};
    frozen_until_ = {};
    tick_due_ = never;
    node_ = std::make_unique<kumquatramp::node>(options_, random_);
    call_node([&](kumquatramp::node& node, action_list& out)
              { node.start(now(), out); });
}

void host_driver::kill()
{
    if (alive())
    {
        parts_.log.killed.push_back(options_.life);
        destroy_node();
    }
}

void host_driver::destroy_node()
{
    for (auto const& [name, link] : links_)
    {
        link->close();
    }
    links_.clear();
    attempts_.clear();
    callers_.clear();
    backlog_.clear();
    node_.reset();
}

void host_driver::freeze(duration time)
{
    frozen_until_ = parts_.queue.now() + time;
    parts_.queue.at(frozen_until_,
                    [this, life = options_.life]
                    {
                        if (alive() && options_.life == life && !frozen())
                        {
                            run_backlog();
                        }
                    });
}

void host_driver::run_backlog()
{
    auto const life = options_.life;
    while (!backlog_.empty() && alive() && options_.life == life)
    {
        auto const next = std::move(backlog_.front());
        backlog_.pop_front();
        next();
    }
}

void host_driver::shut_down()
{
    if (!alive())
    {
        return;
    }
    parts_.log.shutdowns.push_back(
        {options_.self.name, options_.life, parts_.queue.now()});
    deliver(
        [this]
        {
            node_->shut_down(now());
            schedule_tick();
        });
}

void host_driver::deliver(event_queue::job callback)
{
    if (!alive())
    {
        return;
    }
    if (frozen() || !backlog_.empty())
    {
        backlog_.push_back(std::move(callback));
        return;
    }
    callback();
}

event_queue::job host_driver::on_host(event_queue::job callback)
{
    return on_host(std::move(callback), options_.life);
}

event_queue::job host_driver::on_host(event_queue::job callback,
                                      incarnation life)
{
    return [this, life, callback = std::move(callback)]
    {
        if (alive() && options_.life == life)
        {
            deliver(callback);
        }
    };
}

void host_driver::call_node(node_call const& call)
{
    action_list actions;
    call(*node_, actions);
    execute(actions);
    if (alive())
    {
        schedule_tick();
    }
}

void host_driver::tick()
{
    tick_due_ = never;
    call_node([&](kumquatramp::node& node, action_list& out)
              { node.tick(now(), out); });
}

void host_driver::schedule_tick()
{
    auto const due = node_->next_tick(now()) - clock_offset_;
    if (due >= tick_due_)
    {
        return;
    }
    tick_due_ = due;
    parts_.queue.at(due, on_host(
                             [this, due]
                             {
                                 if (tick_due_ == due)
                                 {
                                     tick();
                                 }
                             }));
}

void host_driver::execute(action_list& actions)
{
    for (auto& each : actions)
    {
        if (alive())
        {
            execute(each);
        }
    }
}

void host_driver::execute(action& requested)
{
    std::visit(
        overloaded_cases{
            [&](send_attempt const& send)
            {
                auto& to = link(send.target);
                attempts_.emplace(send.id, &to);
                to.send(send);
            },
            [&](cancel_attempt const& cancel)
            {
                auto const found = attempts_.find(cancel.id);
                if (found != attempts_.end())
                {
                    found->second->cancel(cancel.id);
                }
            },
            [&](answer_caller const& given) { answer(given); },
            [&](exchange_digest const& digest) { exchange(digest); },
            [&](fetch_config const& wanted) { fetch(wanted); },
            [&](read_platform const& wanted) { read(wanted); },
            [&](set_connections const& limits) {
                link(limits.target)
                    .set_limits(limits.max_connections, limits.preopened);
            },
            [&](ask_grant const& wanted) { ask(wanted); },
            [&](report_grant const& done) { report(done); },
            [&](finish_shutdown const&)
            {
                for (auto& shutdown : parts_.log.shutdowns)
                {
                    if (shutdown.life == options_.life)
                    {
                        shutdown.finished = parts_.queue.now();
                    }
                }
                destroy_node();
            },
        },
        requested);
}

target_link& host_driver::link(target_name const& target)
{
    auto& place = links_[target];
    if (!place)
    {
        place =
            std::make_unique<target_link>(*this, *parts_.targets.at(target));
    }
    return *place;
}

void host_driver::exchange(exchange_digest const& requested)
{
    auto const asked = now();
    auto const done = std::make_shared<bool>(false);
    auto const peer = parts_.hosts.find(requested.peer.name);
    parts_.queue.after(
        peer_timeout,
        on_host(
            [this, done, name = requested.peer.name]
            {
                if (!std::exchange(*done, true))
                {
                    call_node([&](kumquatramp::node& node, action_list& out)
                              { node.on_peer_failed(name, now(), out); });
                }
            }));
    if (peer == parts_.hosts.end())
    {
        return;
    }
    auto& other = *peer->second;
    auto const life = options_.life;
    auto const answered = [this, asked, done](peer_digest const& digest)
    {
        if (!std::exchange(*done, true))
        {
            call_node([&](kumquatramp::node& node, action_list& out)
                      { node.on_peer_answer(digest, asked, now(), out); });
        }
    };
    parts_.network.send(
        name().value(), other.name().value(),
        [this, &other, life, answered, digest = requested.digest]
        {
            other.deliver(
                [this, &other, life, answered, digest]
                {
                    peer_digest reply;
                    other.call_node(
                        [&](kumquatramp::node& node, action_list& out) {
                            reply =
                                node.on_peer_digest(digest, other.now(), out);
                        });
                    parts_.network.send(
                        other.name().value(), name().value(),
                        on_host([answered, reply] { answered(reply); }, life));
                });
        });
}

void host_driver::fetch(fetch_config const& requested)
{
    auto const peer = parts_.hosts.find(requested.peer.name);
    if (peer == parts_.hosts.end())
    {
        return;
    }
    auto& other = *peer->second;
    auto const life = options_.life;
    parts_.network.send(
        name().value(), other.name().value(),
        [this, &other, life, key = requested.key, held = requested.held]
        {
            other.deliver(
                [this, &other, life, key, held]
                {
                    auto const update = other.node()->on_fetch(key, held);
                    parts_.network.send(other.name().value(), name().value(),
                                        on_host(
                                            [this, &other, update]
                                            {
                                                call_node(
                                                    [&](kumquatramp::node& node,
                                                        action_list& out) {
                                                        node.on_config_update(
                                                            other.name(),
                                                            update, now(), out);
                                                    });
                                            },
                                            life));
                });
        });
}

void host_driver::ask(ask_grant const& requested)
{
    auto const peer = parts_.hosts.find(requested.peer.name);
    if (peer == parts_.hosts.end())
    {
        return;
    }
    auto& other = *peer->second;
    auto const asked = now();
    auto const life = options_.life;
    auto const answered = [this, asked, requested](grant_answer const& answer)
    {
        call_node(
            [&](kumquatramp::node& node, action_list& out)
            {
                node.on_grant_answer(requested.peer, requested.target, answer,
                                     asked, now(), out);
            });
    };
    auto const question =
        [this, &other, life, answered, target = requested.target]
    {
        auto const answer = other.node()->on_grant_request(target, other.now());
        parts_.network.send(
            other.name().value(), name().value(),
            on_host([answered, answer] { answered(answer); }, life));
    };
    parts_.network.send(name().value(), other.name().value(),
                        [&other, question] { other.deliver(question); });
}

void host_driver::report(report_grant const& requested)
{
    auto const peer = parts_.hosts.find(requested.peer.name);
    if (peer == parts_.hosts.end())
    {
        return;
    }
    auto& other = *peer->second;
    auto const take = [&other, report = requested.report]
    { other.node()->on_grant_report(report, other.now()); };
    parts_.network.send(name().value(), other.name().value(),
                        [&other, take] { other.deliver(take); });
}

void host_driver::read(read_platform const& requested)
{
    auto const asked = now();
    auto const done = std::make_shared<bool>(false);
    auto const life = options_.life;
    auto const ended = [this, asked, done, key = requested.key](
                           std::optional<platform_answer> const& answer)
    {
        if (std::exchange(*done, true))
        {
            return;
        }
        call_node(
            [&](kumquatramp::node& node, action_list& out)
            {
                if (!answer)
                {
                    node.on_platform_failed(key, now(), out);
                    return;
                }
                node.on_platform_value(key, answer->version, answer->text,
                                       asked, now(), out);
            });
    };
    parts_.queue.after(requested.wait + platform_timeout,
                       on_host([ended] { ended(std::nullopt); }));
    parts_.network.send(
        name().value(), platform_endpoint,
        [this, requested, ended, life]
        {
            parts_.platform.read(
                requested.key, requested.held, requested.wait,
                [this, ended,
                 life](std::optional<platform_answer> const& answer)
                {
                    parts_.network.send(
                        platform_endpoint, name().value(),
                        on_host([ended, answer] { ended(answer); }, life));
                });
        });
}

void host_driver::submit(caller_request request, std::uint64_t key,
                         std::string const& request_id, bool fresh_hosts,
                         answer_function answer)
{
    request.number = query_number{next_number_++};
    parts_.log.submits.push_back({parts_.queue.now(), name(), options_.life,
                                  request.number, request.service, key,
                                  request_id, fresh_hosts});
    callers_.emplace(request.number.value(), std::move(answer));
    call_node([&](kumquatramp::node& node, action_list& out)
              { node.submit(std::move(request), now(), out); });
}

void host_driver::answer(answer_caller const& requested)
{
    parts_.log.answers.push_back({parts_.queue.now(), options_.life,
                                  requested.number, requested.answer});
    auto const found = callers_.find(requested.number.value());
    if (found == callers_.end())
    {
        return;
    }
    auto const reply = std::move(found->second);
    callers_.erase(found);
    parts_.network.send(name().value(), callers_endpoint,
                        [reply, answer = requested.answer] { reply(answer); });
}

void host_driver::on_target_restart(target_name const& target)
{
    auto const generation = parts_.targets.at(target)->generation();
    parts_.network.send(target.value(), name().value(),
                        on_host(
                            [this, target, generation]
                            {
                                auto const found = links_.find(target);
                                if (found != links_.end())
                                {
                                    found->second->on_restart(generation);
                                }
                            }));
}

} // namespace kumquatramp::scenarios
