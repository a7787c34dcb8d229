// Runs the rounds of peer exchanges and platform reads.
#include "details/fleet_sync.hpp"
#include <algorithm>

namespace kumquatramp
{

fleet_sync::fleet_sync(node_options const& options, random_source& random,
                       routing_view& routes, burn_rate_tracker& burn)
    : options_(options)
    , store_(validator_)
    , members_(options.self, options.life, options.membership, random)
    , lease_(options.self.name, options.membership)
    , stewards_(options.self.name, options.membership)
    , permission_(lease_, stewards_)
    , shutdown_(options.membership)
    , routes_(routes)
    , applier_(options.self.zone, store_, routes, registry_, members_, lease_,
               stewards_, permission_, burn)
    , reader_(store_, options.platform_wait, options.platform_retry, random)
    , pacer_(options.membership, random)
    , grant_client_(options.self.name, members_)
{
}

void fleet_sync::start(time_point now, action_list& out)
{
    {
        std::lock_guard const guard(mutex_);
        started_ = now;
        next_round_ = now;
    }
    if (!options_.seeds.empty())
    {
        members_.apply_list(options_.seeds, now);
    }
    tick(now, out);
}

void fleet_sync::tick(time_point now, action_list& out)
{
    if (reads_platform(now) ||
        pacer_.due(lease_.age(now), members_.host_count(now), now))
    {
        reader_.read_due(now, out);
    }
    {
        std::lock_guard const guard(mutex_);
        if (now < next_round_)
        {
            return;
        }
        next_round_ = now + options_.membership.round;
    }
    if (!lease_.valid(now) || !lease_.in_quorum(now))
    {
        stewards_.reset(now);
    }
    applier_.refresh_bounds(now, out);
    grant_issuer_.expire(now);
    grant_client_.expire(now, out);
    bool const urgent = view_is_aging(now);
    for (auto const& peer : members_.pick_peers(now, urgent))
    {
        out.push_back(exchange_digest{peer, make_digest(now, false)});
    }
}

time_point fleet_sync::next_tick(time_point now) const
{
    // Due reads set no timer on a host that does not read the platform itself;
    // if its view ages, tick() starts them at the times that pacer_ allows.
    auto const next_read = reads_platform(now) ? reader_.next() : never;
    std::lock_guard const guard(mutex_);
    return std::min(next_round_, next_read);
}

bool fleet_sync::reads_platform(time_point now) const
{
    return !booted(now) || members_.is_reader(now);
}

bool fleet_sync::view_is_aging(time_point now) const
{
    return lease_.age(now) > options_.membership.view_lifetime / 2;
}

bool fleet_sync::has_all_values() const
{
    return std::all_of(all_config_keys.begin(), all_config_keys.end(),
                       [&](config_key key)
                       { return store_.stamp(key).version.value() > 0; });
}

bool fleet_sync::booted(time_point now) const
{
    if (!has_all_values())
    {
        return false;
    }
    std::lock_guard const guard(mutex_);
    return synced_with_booted_peer_ ||
           (started_ != never && now >= started_ + options_.boot_time);
}

bool fleet_sync::leaving(time_point now) const
{
    return shutdown_.phase(1, now) != shutdown_phase::serving;
}

void fleet_sync::on_platform_value(config_key key, config_version version,
                                   std::optional<std::string_view> text,
                                   time_point asked, time_point now,
                                   action_list& out)
{
    if (text)
    {
        store_.offer(key, version, *text);
        if (has_all_values())
        {
            applier_.apply(now, out);
        }
    }
    if (version < store_.stamp(key).version)
    {
        // The platform is stale: back off and do not let it confirm the view.
        lease_.reject_platform(now);
        reader_.on_failure(key, now);
    }
    else
    {
        reader_.on_answer(key, asked);
        if (auto const oldest = reader_.oldest_answer())
        {
            lease_.confirm_by_platform(*oldest);
        }
    }
    if (reads_platform(now))
    {
        reader_.read_due(now, out);
    }
}

void fleet_sync::on_platform_failed(config_key key, time_point now)
{
    reader_.on_failure(key, now);
}

peer_digest fleet_sync::make_digest(time_point now, bool answer)
{
    peer_digest digest;
    digest.from = options_.self.name;
    digest.life = options_.life;
    digest.leaving = leaving(now);
    digest.booted = booted(now);
    digest.stamps = store_.stamps();
    digest.view_age = lease_.age(now);
    digest.heartbeats = members_.next_heartbeats(digest.leaving, now, answer);
    if (lease_.valid(now))
    {
        // Without a valid lease this host may have been partitioned or paused,
        // and may believe a target to be warm that has restarted since. It only
        // receives notices until the lease is valid again.
        digest.warmths = gossip_.next(*routes_.table());
    }
    return digest;
}

void fleet_sync::merge_digest(peer_digest const& digest, time_point now,
                              action_list& out)
{
    members_.merge(digest, now);
    warmth_gossip::apply_notices(digest.warmths, *routes_.table(), now);
    fetch_newer(digest, out);
}

void fleet_sync::fetch_newer(peer_digest const& digest, action_list& out)
{
    auto const peer = members_.find(digest.from);
    if (!peer)
    {
        return;
    }
    for (auto const& peer_stamp : digest.stamps)
    {
        auto const held = store_.stamp(peer_stamp.key);
        if (peer_stamp.stamp > held)
        {
            out.push_back(fetch_config{*peer, peer_stamp.key, held});
        }
    }
}

bool fleet_sync::peer_has_newer(peer_digest const& digest) const
{
    return std::any_of(
        digest.stamps.begin(), digest.stamps.end(),
        [&](keyed_stamp const& peer_stamp)
        { return peer_stamp.stamp > store_.stamp(peer_stamp.key); });
}

peer_digest fleet_sync::on_peer_digest(peer_digest const& digest,
                                       time_point now, action_list& out)
{
    merge_digest(digest, now, out);
    return make_digest(now, true);
}

void fleet_sync::on_peer_answer(peer_digest const& digest, time_point asked,
                                time_point now, action_list& out)
{
    merge_digest(digest, now, out);
    lease_.record_contact(digest.from, asked, peer_has_newer(digest));
    if (!digest.booted || digest.stamps != store_.stamps())
    {
        return;
    }
    lease_.confirm_by_peer(digest.from, asked, digest.view_age);
    std::lock_guard const guard(mutex_);
    synced_with_booted_peer_ = true;
}

grant_answer fleet_sync::on_grant_request(target_name const& target,
                                          time_point now)
{
    auto const gate = registry_.find(target);
    if (!gate || !permission_.held(target, now))
    {
        return {0, gate ? gate->seen() : warmth{}};
    }
    return grant_issuer_.issue(gate, now);
}

void fleet_sync::on_grant_answer(member_entry const& peer,
                                 target_name const& target,
                                 grant_answer const& answer, time_point asked,
                                 time_point now)
{
    if (auto const gate = registry_.find(target))
    {
        gate->observe(answer.seen, now);
    }
    grant_client_.on_answer(peer, target, answer, asked, now);
}

void fleet_sync::on_grant_report(grant_report const& report, time_point now)
{
    grant_issuer_.report(report, now);
}

void fleet_sync::on_config_update(host_name const& peer,
                                  config_update const& update, time_point now,
                                  action_list& out)
{
    auto const accepted = store_.offer(update);
    if (!accepted && accepted.error().kind == error_kind::stale_configuration)
    {
        if (auto const entry = members_.find(peer))
        {
            // The delta does not apply to the held value: fetch the full value.
            out.push_back(fetch_config{*entry, update.key, {}});
        }
        return;
    }
    if (has_all_values())
    {
        applier_.apply(now, out);
    }
}

} // namespace kumquatramp
