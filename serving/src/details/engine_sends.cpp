// Choice of targets, sends, hedges and retries.
#include "details/engine_details.hpp"
#include <algorithm>
#include <serving/fleet_size.hpp>
#include <serving/target_table.hpp>
#include <serving/warmup_share.hpp>

namespace kumquatramp::serving
{

namespace
{

/// Share of a target's connection limit that the fleet uses. The rest is a
/// margin, since hosts may briefly disagree on the size of the fleet.
constexpr double connection_share = 0.8;
/// Connections of this host to a target without a configured limit.
constexpr int unlimited_connections = 32;

/// An attempt is cancelled this long after its deadline. Targets stop work at
/// the deadline themselves, so no later answer is expected.
constexpr duration expiry_grace = 250ms;

} // namespace

fleet_place request_engine::details::place_for(target const& t,
                                               time_point now) const
{
    return {.rank = fleet_.rank(t.record.id, now), .hosts = fleet_.hosts(now)};
}

duration request_engine::details::rate_limit_wait(target const& t,
                                                  time_point now) const
{
    return t.rate.active() ? t.rate.wait(place_for(t, now), now)
                           : duration::zero();
}

duration request_engine::details::service_wait(std::string_view service,
                                               time_point now) const
{
    duration least = duration::max();
    for (auto const& t : table_.replicas(service))
    {
        least = std::min(least, std::max(table_.time_to_usable(*t, now),
                                         rate_limit_wait(*t, now)));
    }
    return least;
}

bool request_engine::details::spend_warmup_share(target const& t,
                                                 running_request const& r,
                                                 time_point now)
{
    if (now >= t.cold_until)
    {
        return true;
    }
    backend_service const* service = r.catalogue->service(t.record.service);
    if (service == nullptr || service->warmup_rate <= 0)
    {
        return true;
    }
    return warmup_.spend(t.record.id, service->warmup_rate,
                         fleet_.rank(t.record.id, now), fleet_.hosts(now), now);
}

std::shared_ptr<target>
request_engine::details::best_refused_target(shard_progress const& s,
                                             time_point now) const
{
    std::shared_ptr<target> best;
    for (auto const& t : s.tries)
    {
        if (t.state == try_state::refused && table_.may_send(*t.to) &&
            (t.to->admitted_share >= 1.0 || s.resend_at != time_point{}) &&
            rate_limit_wait(*t.to, now) == duration::zero() &&
            (!best || t.to->failure_share < best->failure_share))
        {
            best = t.to;
        }
    }
    return best;
}

std::shared_ptr<target>
request_engine::details::choose_refused(running_request const& r,
                                        shard_progress const& s, time_point now)
{
    auto t = best_refused_target(s, now);
    return t && spend_warmup_share(*t, r, now) ? t : nullptr;
}

bool request_engine::details::can_skip_shard(running_request const& r) const
{
    return r.matched_route->scatters() && r.expected() > needed(r);
}

bool request_engine::details::should_skip_shard(running_request const& r,
                                                shard_progress const& s,
                                                target const& t)
{
    // Every further send to a full target delays all requests queued there. A
    // request that can succeed without the shard therefore skips its first
    // send; the shard is sent later if the request turns out to need it.
    return s.sends == 0 && s.resend_at == time_point{} && can_skip_shard(r) &&
           !table_.admits(t);
}

std::shared_ptr<target> request_engine::details::choose(running_request& r,
                                                        shard_progress& s,
                                                        bool for_hedge,
                                                        time_point now)
{
    if (s.targets_used() >= r.matched_route->max_attempts)
    {
        // No further target is allowed, but one that refused may have room now.
        return for_hedge ? nullptr : choose_refused(r, s, now);
    }
    std::vector<target const*> left_out;
    for (auto const& t : s.tries)
    {
        left_out.push_back(t.to.get());
    }
    duration const usual = statistics(*r.matched_route).latency.usual();
    for (;;)
    {
        auto t = for_hedge
                     ? table_.choose_for_hedge(s.service, usual, left_out, now)
                     : table_.choose(s.service, usual, left_out, now);
        if (!t)
        {
            return for_hedge ? nullptr : choose_refused(r, s, now);
        }
        if (rate_limit_wait(*t, now) > duration::zero())
        {
            left_out.push_back(t.get());
            continue;
        }
        if (!for_hedge && should_skip_shard(r, s, *t))
        {
            s.current_state = shard_state::deferred;
            s.cause = "target full";
            ++counters_.shards_skipped;
            return nullptr;
        }
        if (spend_warmup_share(*t, r, now))
        {
            return t;
        }
        left_out.push_back(t.get());
    }
}

int request_engine::details::connection_limit(running_request const& r,
                                              target const& t,
                                              time_point now) const
{
    backend_service const* service = r.catalogue->service(t.record.service);
    if (service == nullptr || service->max_connections <= 0)
    {
        return unlimited_connections;
    }
    double const share = service->max_connections * connection_share /
                         std::max(fleet_.hosts(now), 1);
    return std::max(1, static_cast<int>(share));
}

bool request_engine::details::send(running_request& r, std::size_t shard,
                                   bool for_hedge, time_point now)
{
    shard_progress& s = r.shards[shard];
    auto to = choose(r, s, for_hedge, now);
    if (!to)
    {
        return false;
    }
    auto tried = std::find_if(s.tries.begin(), s.tries.end(),
                              [&](target_try const& t) { return t.to == to; });
    if (tried == s.tries.end())
    {
        tried = s.tries.insert(tried, {.to = to});
    }
    tried->state = try_state::sent;
    ++s.sends;
    ++s.outstanding;
    ++r.outstanding;
    ++to->in_flight;
    counters_.far_sends += table_.is_near(*to) ? 0 : 1;
    if (to->rate.active())
    {
        to->rate.spend(place_for(*to, now), now);
    }
    attempt_handle const id = ++last_attempt_;
    attempts_.emplace(id, running_attempt{.request = r.handle,
                                          .shard = shard,
                                          .to = to,
                                          .started = now,
                                          .deadline = r.deadline});
    timers_.push({now + statistics(*r.matched_route).latency.overdue_after(),
                  timer_kind::attempt_overdue, id});
    timers_.push({r.deadline + expiry_grace, timer_kind::attempt_expired, id});
    port_.start_attempt({.attempt = id,
                         .request = r.handle,
                         .to = to,
                         .connection_limit = connection_limit(r, *to, now),
                         .deadline = r.deadline,
                         .repeatable = r.matched_route->idempotent,
                         .excluded_connections = tried->refused_on});
    return true;
}

bool request_engine::details::may_send(attempt_handle attempt,
                                       time_point now) const
{
    auto const a = attempts_.find(attempt);
    if (a == attempts_.end() || a->second.abandoned)
    {
        return false;
    }
    auto const r = requests_.find(a->second.request);
    return r != requests_.end() && !r->second.finished &&
           r->second.shards[a->second.shard].current_state ==
               shard_state::waiting &&
           now < r->second.deadline && table_.may_send(*a->second.to);
}

bool request_engine::details::may_repeat(running_request const& r,
                                         shard_progress const& s,
                                         time_point now) const
{
    if (s.sends >= options_.max_sends)
    {
        return false;
    }
    if (s.may_have_run && !r.matched_route->idempotent)
    {
        return false;
    }
    return s.targets_used() < r.matched_route->max_attempts ||
           best_refused_target(s, now);
}

bool request_engine::details::may_retry(shard_progress const& s, time_point now)
{
    // A send counts against the budget only if an earlier one reached a target.
    bool const granted = s.targets_used() == 0 ||
                         budget(s.service).spend(retry_budget::use::retry,
                                                 fleet_.hosts(now), now);
    counters_.retries += granted && s.sends > 0 ? 1 : 0;
    counters_.retries_denied += granted ? 0 : 1;
    return granted;
}

void request_engine::details::retry_or_lose(running_request& r,
                                            std::size_t shard, time_point now)
{
    shard_progress& s = r.shards[shard];
    if (s.outstanding > 0)
    {
        return;
    }
    bool const arrived = s.targets_used() > 0;
    bool const dispensable =
        can_skip_shard(r) &&
        budget(s.service).mostly_spent(fleet_.hosts(now), now);
    bool const repeatable = may_repeat(r, s, now);
    if (repeatable && arrived && dispensable)
    {
        s.current_state = shard_state::deferred;
        s.resend_at = now;
    }
    else if (repeatable && may_retry(s, now) && send(r, shard, false, now))
    {
        return;
    }
    if (s.current_state == shard_state::waiting)
    {
        defer_or_lose(r, s, now);
    }
    try_complete(r, now);
}

void request_engine::details::on_overdue(attempt_handle attempt, time_point now)
{
    auto const found = attempts_.find(attempt);
    if (found == attempts_.end())
    {
        return;
    }
    running_attempt& a = found->second;
    bool const newly_overdue = !a.overdue;
    if (newly_overdue)
    {
        a.overdue = true;
        ++a.to->overdue;
    }
    auto const entry = requests_.find(a.request);
    if (entry == requests_.end())
    {
        return;
    }
    running_request& r = entry->second;
    r.shards[a.shard].overdue += newly_overdue ? 1 : 0;
    if (r.finished)
    {
        return;
    }
    std::size_t const shard = a.shard;
    request_handle const handle = r.handle;
    hedge(r, shard, attempt, now);
    if (newly_overdue)
    {
        try_complete(r, now);
        erase_if_finished(handle);
    }
}

void request_engine::details::hedge(running_request& r, std::size_t shard,
                                    attempt_handle attempt, time_point now)
{
    shard_progress& s = r.shards[shard];
    if (!r.matched_route->idempotent ||
        s.current_state != shard_state::waiting || s.outstanding > 1 ||
        s.sends >= options_.max_sends)
    {
        return;
    }
    auto& extras = budget(s.service);
    int const hosts = fleet_.hosts(now);
    bool const affordable =
        extras.left(retry_budget::use::hedge, hosts, now) >= 1.0;
    counters_.hedges_denied += affordable ? 0 : 1;
    if (affordable && send(r, shard, true, now))
    {
        ++counters_.hedges;
        extras.spend(retry_budget::use::hedge, hosts, now);
        return;
    }
    timers_.push({now + statistics(*r.matched_route).latency.usual(),
                  timer_kind::attempt_overdue, attempt});
}

} // namespace kumquatramp::serving
