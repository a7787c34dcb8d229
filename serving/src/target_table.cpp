// State of the targets, updated from the registry and from request outcomes.
#include "details/decay.hpp"
#include <algorithm>
#include <base/milliseconds.hpp>
#include <serving/event_sink.hpp>
#include <serving/target_table.hpp>

namespace kumquatramp::serving
{

namespace
{

/// Weight of a new latency sample of a target.
constexpr double slowness_sample_weight = 0.2;
/// A sample is clipped at this multiple of the usual latency, so that a single
/// pause does not mark a target as slow.
constexpr double max_slowness_sample = 4.0;
constexpr double failure_sample_weight = 0.15;
/// Time for which a failing target is avoided, with exponential back-off: twice
/// the initial value after the first failure beyond `tolerated_failures`, then
/// doubled with each consecutive one up to the maximum. A target that announces
/// that it closes its connections is avoided for the initial value.
constexpr duration initial_avoidance = 60ms;
constexpr duration max_avoidance = 1500ms;
/// A target at whose address another instance answered is tried again after
/// this time if the registry still lists it. The time is long because every
/// such attempt arrives at the wrong instance.
constexpr duration misdirected_hold = 8s;
/// A target to which no connection could be established counts as warming up
/// for this long after each try.
constexpr duration unreachable_hold = 2s;
/// It does so from the first connection on until the registry must have told of
/// a restart.
constexpr duration restart_news_time = 1s;
/// Number of consecutive failures up to which a target is not avoided.
constexpr int tolerated_failures = 2;

/// A target is full when the wait in its queue exceeds this share of the
/// latency objective: the rest must hold the service time and a pause or hedge.
constexpr double full_wait_share = 0.35;
/// Multiplicative decrease and additive increase of the admitted share (AIMD),
/// so that hosts converge on the target's capacity without communicating.
constexpr double admitted_decrease = 0.85;
constexpr double admitted_increase = 0.04;
constexpr double min_admitted_share = 0.1;

/// Announced shutdowns remembered; above it those of unknown targets are
/// forgotten.
constexpr std::size_t max_remembered_shutdowns = 1024;
} // namespace

target_table::target_table(std::string own_zone, duration unlisted_hold,
                           random_source& random, event_sink& log)
    : own_zone_(std::move(own_zone))
    , unlisted_hold_(unlisted_hold)
    , random_(random)
    , log_(log)
{
}

void target_table::put(target_record record, time_point now)
{
    auto& known = by_id_[record.id];
    if (known &&
        (known->record.incarnation_start_ms != record.incarnation_start_ms ||
         known->record.address != record.address ||
         known->record.service != record.service))
    {
        // A new incarnation under an old id: earlier state does not apply.
        drop(known, "replaced by a new incarnation", now);
        known.reset();
    }
    listing const listed = record.draining ? listing::draining : listing::ready;
    if (!known)
    {
        known = std::make_shared<target>();
        by_service_[record.service].push_back(known);
        log_.note("target.found", record.id,
                  record.service + " at " + record.address);
    }
    else if (known->listed != listed)
    {
        log_.note(record.draining ? "target.draining" : "target.listed",
                  record.id, record.service);
    }
    auto const announced = shutting_down_.find(record.id);
    known->shutting_down = announced != shutting_down_.end() &&
                           announced->second == record.incarnation_start_ms;
    known->listed = listed;
    known->unlisted_since = never;
    known->unconfirmed = false;
    known->misdirected = false;
    if (record.warmup_left > duration::zero())
    {
        known->cold_until = now + record.warmup_left;
    }
    known->record = std::move(record);
}

void target_table::put_restored(target_record record, time_point now)
{
    auto const is_outdated_for = [&](target_record const& known)
    {
        return record.incarnation_start_ms < known.incarnation_start_ms ||
               (record.incarnation_start_ms == known.incarnation_start_ms &&
                !record.draining);
    };
    auto const found = by_id_.find(record.id);
    bool const known = found != by_id_.end();
    if (known ? is_outdated_for(found->second->record)
              : departures_.has_left(record))
    {
        return;
    }
    std::string const id = record.id;
    put(std::move(record), now);
    by_id_.at(id)->unconfirmed = !known;
}

void target_table::remove(std::string_view id, time_point now)
{
    auto const found = by_id_.find(std::string(id));
    if (found == by_id_.end())
    {
        return;
    }
    target& t = *found->second;
    if (t.listed == listing::draining || t.shutting_down)
    {
        drop(found->second, "drained", now);
        by_id_.erase(found);
        return;
    }
    if (t.listed == listing::ready)
    {
        t.listed = listing::unlisted;
        t.unlisted_since = now;
        log_.note("target.unlisted", t.record.id, t.record.service);
    }
}

void target_table::retain(std::set<std::string, std::less<>> const& listed,
                          time_point now)
{
    std::vector<std::string> missing;
    for (auto const& [id, t] : by_id_)
    {
        if (!listed.contains(id))
        {
            missing.push_back(id);
        }
    }
    for (auto const& id : missing)
    {
        remove(id, now);
    }
}

void target_table::evacuate(std::string const& zone, time_point)
{
    if (evacuated_.insert(zone).second)
    {
        log_.note("zone.evacuated", zone,
                  "no new requests are sent to its targets");
    }
}

void target_table::evacuate_restored(std::string const& zone, time_point now)
{
    if (!departures_.has_ended(zone))
    {
        evacuate(zone, now);
    }
}

void target_table::end_evacuation(std::string const& zone, time_point now)
{
    if (evacuated_.erase(zone) > 0)
    {
        departures_.add_evacuation(zone, now);
        log_.note("zone.back", zone, "its targets may receive requests again");
    }
}

void target_table::set_evacuated(std::set<std::string> const& zones,
                                 time_point now)
{
    auto const before = evacuated_;
    for (auto const& zone : before)
    {
        if (!zones.contains(zone))
        {
            end_evacuation(zone, now);
        }
    }
    for (auto const& zone : zones)
    {
        evacuate(zone, now);
    }
}

void target_table::drop(std::shared_ptr<target> const& t,
                        std::string_view cause, time_point now)
{
    t->listed = listing::gone;
    departures_.add_target(t->record, now);
    auto& replicas = by_service_[t->record.service];
    std::erase(replicas, t);
    log_.note("target.gone", t->record.id, cause);
}

void target_table::tick(time_point now)
{
    departures_.tick(now);
    for (auto it = by_id_.begin(); it != by_id_.end();)
    {
        auto const& t = it->second;
        if (t->misdirected && now - t->misdirected_since >= misdirected_hold)
        {
            t->misdirected = false;
        }
        if (t->resting && now >= t->rest_until)
        {
            t->resting = false;
        }
        if (t->listed == listing::unlisted &&
            now - t->unlisted_since >= unlisted_hold_)
        {
            drop(t, "registry entry did not return within the hold time", now);
            it = by_id_.erase(it);
            continue;
        }
        ++it;
    }
}

bool target_table::may_send(target const& t) const
{
    return t.usable() && !evacuated_.contains(t.record.zone);
}

duration target_table::time_to_usable(target const& t, time_point now) const
{
    if (!t.usable_after_rest() || evacuated_.contains(t.record.zone))
    {
        return duration::max();
    }
    return t.resting ? std::max<duration>(t.rest_until - now, 1ms)
                     : duration::zero();
}

void target_table::count_success(target& t, duration latency, duration usual,
                                 time_point now)
{
    double const sample = std::min(
        max_slowness_sample, to_ms(latency) / std::max(to_ms(usual), 0.1));
    double const present =
        decayed(t.slowness, 1.0, t.slowness_at, now, slowness_half_life_ms);
    t.slowness = present + slowness_sample_weight * (sample - present);
    t.slowness_at = now;
    double const failing =
        decayed(t.failure_share, 0.0, t.failure_at, now, failure_half_life_ms);
    t.failure_share = failing * (1.0 - failure_sample_weight);
    t.failure_at = now;
    if (t.failures_in_row > tolerated_failures)
    {
        log_.note("target.recovered", t.record.id, t.record.service);
    }
    t.failures_in_row = 0;
    t.avoid_until = now;
}

void target_table::count_failure(target& t, time_point now)
{
    double const failing =
        decayed(t.failure_share, 0.0, t.failure_at, now, failure_half_life_ms);
    t.failure_share = failing + failure_sample_weight * (1.0 - failing);
    t.failure_at = now;
    ++t.failures_in_row;
    if (t.failures_in_row <= tolerated_failures)
    {
        return;
    }
    if (t.failures_in_row == tolerated_failures + 1)
    {
        log_.note("target.failing", t.record.id, t.record.service);
    }
    int const doublings = std::min(t.failures_in_row - tolerated_failures, 6);
    duration const pause =
        std::min<duration>(initial_avoidance * (1 << doublings), max_avoidance);
    t.avoid_until = now + pause;
}

void target_table::report_load(target& t, int busy, duration usual,
                               duration objective, time_point now)
{
    t.reported_busy = busy;
    t.reported_at = now;
    int const slots = std::max(t.record.slots, 1);
    double const waiting = std::max(0, busy - slots);
    double const wait_ms = to_ms(usual) * waiting / slots;
    bool const was_full = t.admitted_share < 1.0;
    if (wait_ms > to_ms(objective) * full_wait_share)
    {
        t.admitted_share =
            std::max(min_admitted_share, t.admitted_share * admitted_decrease);
    }
    else if (wait_ms < to_ms(objective) * full_wait_share / 2)
    {
        t.admitted_share = std::min(1.0, t.admitted_share + admitted_increase);
    }
    if (was_full != (t.admitted_share < 1.0))
    {
        log_.note(was_full ? "target.room" : "target.full", t.record.id,
                  t.record.service + " holds " + std::to_string(busy));
    }
}

void target_table::report_rate_limit(target& t,
                                     std::optional<double> per_second,
                                     time_point now)
{
    bool const was_limited = t.rate.active();
    t.rate.update(per_second, now);
    if (was_limited != per_second.has_value())
    {
        log_.note(per_second ? "target.limited" : "target.unlimited",
                  t.record.id,
                  per_second ? std::to_string(*per_second) + " requests/s"
                             : "states no limit any more");
    }
}

bool target_table::admits(target const& t)
{
    return t.admitted_share >= 1.0 || random_.unit() < t.admitted_share;
}

void target_table::mark_leaving(target& t, time_point now)
{
    // A target may close a connection without shutting down. Only the registry
    // tells whether it drains; until then the target is briefly avoided.
    t.avoid_until = std::max(t.avoid_until, now + initial_avoidance);
}

void target_table::mark_resting(target& t, duration rest, time_point now)
{
    if (rest <= duration::zero())
    {
        return;
    }
    if (!t.resting)
    {
        log_.note("target.resting", t.record.id,
                  "for " + std::to_string(rest / 1ms) + " ms");
    }
    t.resting = true;
    t.rest_until = std::max(t.rest_until, now + rest);
}

void target_table::mark_shutting_down(target& t)
{
    if (t.shutting_down)
    {
        return;
    }
    t.shutting_down = true;
    if (shutting_down_.size() >= max_remembered_shutdowns)
    {
        std::erase_if(shutting_down_, [&](auto const& entry)
                      { return !by_id_.contains(entry.first); });
    }
    shutting_down_[t.record.id] = t.record.incarnation_start_ms;
    log_.note("target.shutting_down", t.record.id, t.record.service);
}

void target_table::mark_misdirected(target& t, time_point now)
{
    if (!t.misdirected)
    {
        log_.note("target.misdirected", t.record.id,
                  "another instance answered at " + t.record.address);
    }
    t.misdirected = true;
    t.misdirected_since = now;
}

void target_table::mark_unreachable(target const& t, time_point now)
{
    auto const found = by_id_.find(t.record.id);
    if (found == by_id_.end() || found->second.get() != &t)
    {
        return;
    }
    target& known = *found->second;
    if (!known.unreachable)
    {
        known.unreachable = true;
        log_.note("target.unreachable", t.record.id, t.record.service);
    }
    known.cold_until = std::max(known.cold_until, now + unreachable_hold);
}

void target_table::mark_reachable(target const& t, time_point now)
{
    auto const found = by_id_.find(t.record.id);
    if (found == by_id_.end() || found->second.get() != &t || !t.unreachable)
    {
        return;
    }
    target& known = *found->second;
    known.unreachable = false;
    known.cold_until = std::max(known.cold_until, now + restart_news_time);
    log_.note("target.reachable", t.record.id, t.record.service);
}

std::span<std::shared_ptr<target> const>
target_table::replicas(std::string_view service) const
{
    auto const found = by_service_.find(service);
    if (found == by_service_.end())
    {
        return {};
    }
    return found->second;
}

std::size_t target_table::usable_count() const
{
    return static_cast<std::size_t>(std::count_if(
        by_id_.begin(), by_id_.end(),
        [&](auto const& entry) { return may_send(*entry.second); }));
}

target_states target_table::states(time_point now) const
{
    target_states counts;
    for (auto const& [id, t] : by_id_)
    {
        int& count = t->misdirected ? counts.misdirected
                     : t->shutting_down || t->listed == listing::draining
                         ? counts.draining
                     : t->last_resort()                    ? counts.unlisted
                     : evacuated_.contains(t->record.zone) ? counts.evacuated
                     : t->resting                          ? counts.resting
                     : now < t->avoid_until                ? counts.failing
                     : now < t->cold_until                 ? counts.cold
                     : t->rate.active()                    ? counts.limited
                     : t->admitted_share < 1.0             ? counts.full
                                                           : counts.ready;
        ++count;
    }
    return counts;
}

} // namespace kumquatramp::serving
