// The gate in front of one target: binds limit, ramp and connection share.
#include <algorithm>
#include <limits/target_gate.hpp>

namespace kumquatramp
{
namespace
{

/// Latency taken for the pacing of a target that has not answered yet.
constexpr duration assumed_latency = 5ms;

/// No gap between paced sends is longer.
constexpr duration longest_gap = 1s;

/// A timeout tells of the target only if the wait was this many times the
/// smoothed latency; else it tells of a caller with little time.
constexpr int telling_wait = 2;

} // namespace

void target_gate::configure(target_bounds const& bounds, time_point now)
{
    std::lock_guard const guard(mutex_);
    if (bounds_.steward != bounds.steward)
    {
        cold_start_.restart_ramp(now);
    }
    if (bounds_.slots != bounds.slots || bounds_.hosts != bounds.hosts)
    {
        limit_.set_bounds(bounds.slots, bounds.hosts);
    }
    bounds_ = bounds;
    connections_.configure(bounds.connections, bounds.hosts, now);
}

double target_gate::allowed() const
{
    if (bounds_.closed)
    {
        return 0;
    }
    if (!cold_start_.warm())
    {
        return bounds_.steward ? cold_start_.step() : 0;
    }
    return limit_.value() * bounds_.share;
}

bool target_gate::has_place(time_point now) const
{
    double const places = allowed();
    if (places <= 0 || cold_start_.pausing(now))
    {
        return false;
    }
    if (places >= 1)
    {
        return in_flight_ + 1 <= places;
    }
    auto const known = latency_.smoothed();
    auto const latency = known == duration{0} ? assumed_latency : known;
    std::chrono::duration<double, std::nano> const gap = latency / places;
    return in_flight_ == 0 &&
           now - last_acquired_ >= std::min<decltype(gap)>(gap, longest_gap);
}

bool target_gate::try_acquire(time_point now)
{
    std::lock_guard const guard(mutex_);
    connections_.advance(now);
    if (!has_place(now))
    {
        return false;
    }
    ++in_flight_;
    last_acquired_ = now;
    return true;
}

bool target_gate::may_send(time_point now) const
{
    std::lock_guard const guard(mutex_);
    if (bounds_.closed)
    {
        return false;
    }
    if (cold_start_.warm())
    {
        return true;
    }
    return bounds_.steward && in_flight_ <= cold_start_.step() &&
           !cold_start_.pausing(now);
}

void target_gate::note_health(attempt_outcome outcome, time_point now)
{
    switch (outcome)
    {
    case attempt_outcome::answered:
        health_.record(false, now);
        break;
    case attempt_outcome::failed:
    case attempt_outcome::malformed:
    case attempt_outcome::broken:
    case attempt_outcome::timed_out:
    case attempt_outcome::connect_failed:
        health_.record(true, now);
        break;
    default:
        break; // says nothing about whether its answers are of use
    }
}

double target_gate::failure_rate(time_point now) const
{
    std::lock_guard const guard(mutex_);
    return health_.at(now);
}

void target_gate::release(attempt_outcome outcome, duration latency,
                          std::optional<load_report> report, time_point now)
{
    std::lock_guard const guard(mutex_);
    connections_.advance(now);
    in_flight_ -= std::min(in_flight_, 1U);
    if (outcome == attempt_outcome::not_sent)
    {
        return;
    }
    ++sent_;
    note_health(outcome, now);
    if (report)
    {
        limit_.on_report(*report);
    }
    auto const before = cold_start_.seen();
    switch (outcome)
    {
    case attempt_outcome::answered:
        on_answered(latency, now);
        break;
    case attempt_outcome::refused:
        ++refused_;
        on_refused(now - latency, now);
        break;
    case attempt_outcome::timed_out:
        on_timed_out(latency, now);
        break;
    case attempt_outcome::cancelled:
        latency_.record_unanswered(latency, now);
        cold_start_.on_withdrawn(now);
        break;
    case attempt_outcome::connect_failed:
        ++failed_;
        cold_start_.on_unreachable(now);
        break;
    case attempt_outcome::broken:
        ++failed_;
        cold_start_.on_loss(now);
        break;
    case attempt_outcome::failed:
        // No sign of cold: one caller's requests may fail everywhere.
        ++failed_;
        failures_.clear();
        limit_.on_overload(now - latency, now);
        break;
    case attempt_outcome::malformed:
        ++failed_;
        on_refused(now - latency, now);
        break;
    default:
        failures_.clear();
        break;
    }
    start_if_warmed(before);
}

/// A target that has just turned warm starts from an equal share.
void target_gate::start_if_warmed(warmth before)
{
    if (cold_start_.warm() && cold_start_.seen() != before)
    {
        limit_.start(bounds_.slots, bounds_.hosts);
        failures_.clear();
    }
}

void target_gate::on_answered(duration latency, time_point now)
{
    failures_.clear();
    latency_.record(latency, now);
    if (cold_start_.warm())
    {
        limit_.on_answer(latency_.slow(), in_flight_ + 1, now - latency, now);
    }
    cold_start_.on_answer(bounds_.slots, latency_.slow(), now - latency, now);
}

void target_gate::on_refused(time_point sent, time_point now)
{
    if (!cold_start_.warm())
    {
        cold_start_.on_setback(now);
        return;
    }
    bool const was_lowest = limit_.at_lowest();
    limit_.on_overload(sent, now);
    if (was_lowest && failures_.add(sent, now))
    {
        cold_start_.turn_cold(now);
    }
}

void target_gate::on_timed_out(duration waited, time_point now)
{
    bool const telling = waited >= latency_.smoothed() * telling_wait;
    latency_.record_unanswered(waited, now);
    if (telling || !cold_start_.warm())
    {
        on_refused(now - waited, now);
    }
}

void target_gate::on_connection_lost(time_point now)
{
    std::lock_guard const guard(mutex_);
    cold_start_.on_loss(now);
}

void target_gate::observe(warmth seen, time_point now)
{
    std::lock_guard const guard(mutex_);
    auto const before = cold_start_.seen();
    cold_start_.observe(seen, now);
    start_if_warmed(before);
}

warmth target_gate::seen() const
{
    std::lock_guard const guard(mutex_);
    return cold_start_.seen();
}

bool target_gate::open(time_point now) const
{
    std::lock_guard const guard(mutex_);
    return has_place(now);
}

double target_gate::load(time_point now) const
{
    std::lock_guard const guard(mutex_);
    if (!has_place(now))
    {
        return 1.0 + in_flight_;
    }
    return in_flight_ / allowed();
}

duration target_gate::latency() const
{
    std::lock_guard const guard(mutex_);
    return latency_.smoothed();
}

std::uint32_t target_gate::connection_share() const
{
    std::lock_guard const guard(mutex_);
    return connections_.share();
}

gate_status target_gate::status() const
{
    std::lock_guard const guard(mutex_);
    gate_status status;
    status.bounds = bounds_;
    status.warmth_seen = cold_start_.seen();
    status.limit = allowed();
    status.in_flight = in_flight_;
    status.connections = connections_.share();
    status.latency = latency_.smoothed();
    status.sent = sent_;
    status.refused = refused_;
    status.failed = failed_;
    return status;
}

} // namespace kumquatramp
