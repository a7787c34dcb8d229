// Connects the parts of a node and forwards events to them.
#include "details/fleet_sync.hpp"
#include "details/query_engine.hpp"
#include <algorithm>
#include <node/node.hpp>

namespace kumquatramp
{

class node::impl
{
public:
    impl(node_options given, random_source& random)
        : options(std::move(given))
        , random_(random)
        , sign(options.fleet_key)
        , codec(sign)
        , ledger(options.self.name, options.life, options.ledger)
        , admission_control(options.max_in_flight)
        , chooser(make_replica_chooser(options.choice))
        , fleet(options, random, routes, burn)
        , engine({options.life, random, routes, fleet.lease(), ledger, codec,
                  admission_control, *chooser, burn, fleet.grants(),
                  fleet.permission()})
    {
    }

    std::optional<error_kind> refusal(time_point now) const
    {
        if (phase(now) >= shutdown_phase::refusing)
        {
            return error_kind::leaving;
        }
        if (!fleet.booted(now))
        {
            return error_kind::not_ready;
        }
        if (!fleet.lease().valid(now))
        {
            return error_kind::stale_view;
        }
        return std::nullopt;
    }

    shutdown_phase phase(time_point now) const
    {
        return fleet.shutdown().phase(engine.unanswered(), now);
    }

    node_options const options;
    random_source& random_;
    signer const sign;
    request_id_codec const codec;
    request_ledger ledger;
    admission_controller admission_control;
    std::unique_ptr<replica_chooser> const chooser;
    burn_rate_tracker burn;
    routing_view routes;
    fleet_sync fleet;
    query_engine engine;
};

node::node(node_options options, random_source& random)
    : impl_(std::make_unique<impl>(std::move(options), random))
{
}

node::~node() = default;

void node::start(time_point now, action_list& out)
{
    impl_->fleet.start(now, out);
}

void node::tick(time_point now, action_list& out)
{
    impl_->fleet.tick(now, out);
    impl_->engine.tick(now, out);
    impl_->ledger.expire(now);
    if (impl_->phase(now) == shutdown_phase::done)
    {
        out.push_back(finish_shutdown{});
    }
}

time_point node::next_tick(time_point now) const
{
    auto const round = now + impl_->options.membership.round;
    return std::min(
        {round, impl_->fleet.next_tick(now), impl_->engine.next_tick(now)});
}

void node::submit(caller_request request, time_point now, action_list& out)
{
    impl_->engine.submit(std::move(request), impl_->refusal(now), now, out);
}

void node::cancel(query_number number, time_point now, action_list& out)
{
    impl_->engine.cancel(number, now, out);
}

result<std::string> node::issue_request_id(time_point now)
{
    if (auto const refused = impl_->refusal(now))
    {
        return failure(*refused, {});
    }
    auto const id = impl_->ledger.issue(now);
    if (!id)
    {
        return id.error();
    }
    return impl_->codec.encode(id.value());
}

result<request_id> node::decode_request_id(std::string_view text) const
{
    return impl_->codec.decode(text);
}

result<request_outcome> node::outcome_of(request_id const& id,
                                         time_point now) const
{
    auto const& self = impl_->options.self;
    if (id.host == self.name && id.life == impl_->options.life)
    {
        return impl_->ledger.outcome(id, now);
    }
    for (auto const& member : impl_->fleet.members().members(now))
    {
        if (member.entry.name == id.host && member.life == id.life &&
            member.state != liveness::dead)
        {
            return failure(error_kind::foreign_request_id,
                           member.entry.caller_address);
        }
    }
    request_outcome unknown;
    unknown.error = error_kind::outcome_unknown;
    return unknown;
}

result<discovery_answer> node::discover(discovery_request const& request,
                                        time_point now)
{
    if (!impl_->fleet.booted(now))
    {
        return failure(error_kind::not_ready, {});
    }
    auto serving = impl_->fleet.members().serving(now);
    if (impl_->phase(now) != shutdown_phase::serving)
    {
        std::erase_if(serving, [&](member_entry const& member)
                      { return member.name == impl_->options.self.name; });
    }
    return kumquatramp::discover(request, serving, 0,
                                 impl_->options.membership.discovery_lifetime,
                                 impl_->random_);
}

bool node::ready(time_point now) const
{
    return !impl_->refusal(now);
}

bool node::may_send(attempt_id const& id, time_point now)
{
    return impl_->engine.may_send(id, now);
}

void node::on_target_reply(target_reply reply, time_point now, action_list& out)
{
    impl_->engine.on_reply(std::move(reply), now, out);
}

void node::on_connection_lost(target_name const& target, time_point now)
{
    if (auto const gate = impl_->fleet.registry().find(target))
    {
        gate->on_connection_lost(now);
    }
}

void node::on_platform_value(config_key key, config_version version,
                             std::optional<std::string_view> text,
                             time_point asked, time_point now, action_list& out)
{
    impl_->fleet.on_platform_value(key, version, text, asked, now, out);
}

void node::on_platform_failed(config_key key, time_point now, action_list&)
{
    impl_->fleet.on_platform_failed(key, now);
}

peer_digest node::on_peer_digest(peer_digest const& digest, time_point now,
                                 action_list& out)
{
    return impl_->fleet.on_peer_digest(digest, now, out);
}

void node::on_peer_answer(peer_digest const& digest, time_point asked,
                          time_point now, action_list& out)
{
    impl_->fleet.on_peer_answer(digest, asked, now, out);
}

config_update node::on_fetch(config_key key, config_stamp held) const
{
    return impl_->fleet.store().update_since(key, held);
}

void node::on_config_update(host_name const& peer, config_update const& update,
                            time_point now, action_list& out)
{
    impl_->fleet.on_config_update(peer, update, now, out);
}

grant_answer node::on_grant_request(target_name const& target, time_point now)
{
    return impl_->fleet.on_grant_request(target, now);
}

void node::on_grant_answer(member_entry const& peer, target_name const& target,
                           grant_answer const& answer, time_point asked,
                           time_point now, action_list& out)
{
    impl_->fleet.on_grant_answer(peer, target, answer, asked, now);
    impl_->engine.on_capacity(target, now, out);
}

void node::on_grant_report(grant_report const& report, time_point now)
{
    impl_->fleet.on_grant_report(report, now);
}

void node::on_peer_failed(host_name const&, time_point, action_list&)
{
    // Nothing to do: the peer's heartbeat no longer advances, and the next
    // round picks other peers.
}

void node::shut_down(time_point now)
{
    impl_->fleet.shut_down(now);
}

burn_rate_tracker const& node::burn() const
{
    return impl_->burn;
}

node_status node::status(time_point now) const
{
    auto const& fleet = impl_->fleet;
    node_status status;
    status.self = impl_->options.self;
    status.life = impl_->options.life;
    status.phase = impl_->phase(now);
    status.booted = fleet.booted(now);
    status.view_valid = fleet.lease().valid(now);
    status.view_age = fleet.lease().age(now);
    status.platform_reader = fleet.members().is_reader(now);
    status.in_flight = impl_->engine.unanswered();
    status.stamps = fleet.store().stamps();
    for (auto const key : all_config_keys)
    {
        if (auto refused = fleet.store().refused(key))
        {
            status.refused.push_back(std::move(*refused));
        }
    }
    status.members = fleet.members().members(now);
    auto const table = impl_->routes.table();
    for (auto const& service : table->services())
    {
        auto const runtime = impl_->routes.runtime(service->entry.name);
        status.services.push_back(
            {service->entry.name, service->entry.idempotent, runtime->waiting(),
             runtime->choose(service)});
    }
    for (auto const& target : table->replicas())
    {
        status.targets.push_back({target->entry.name, target->entry.service,
                                  target->entry.zone, target->entry.address,
                                  std::string(to_string(target->closed)),
                                  target->gate->status()});
    }
    return status;
}

} // namespace kumquatramp
