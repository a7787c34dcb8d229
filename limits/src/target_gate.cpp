// Combines the concurrency limit, the cold-start ramp and the connection share
// of one target.
#include <algorithm>
#include <limits/target_gate.hpp>

namespace kumquatramp
{
namespace
{

/// Latency assumed for pacing before the target has answered.
constexpr duration default_latency = 5ms;

/// Longest interval between paced attempts.
constexpr duration max_send_interval = 1s;

/// A timeout counts against a warm target only if the wait was at least this
/// multiple of the smoothed latency; a shorter wait means that the caller set a
/// short deadline.
constexpr int min_timeout_ratio = 2;

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

double target_gate::concurrency_limit() const
{
    if (bounds_.closed)
    {
        return 0;
    }
    if (!cold_start_.warm())
    {
        return bounds_.steward ? cold_start_.ramp_limit() : 0;
    }
    return limit_.value() * bounds_.share;
}

bool target_gate::permit_available(time_point now) const
{
    double const permits = concurrency_limit();
    if (permits <= 0 || cold_start_.backing_off(now))
    {
        return false;
    }
    if (permits >= 1)
    {
        return in_flight_ + 1 <= permits;
    }
    auto const known = latency_.smoothed();
    auto const latency = known == duration{0} ? default_latency : known;
    std::chrono::duration<double, std::nano> const interval = latency / permits;
    return in_flight_ == 0 &&
           now - last_acquired_ >=
               std::min<decltype(interval)>(interval, max_send_interval);
}

bool target_gate::try_acquire(time_point now)
{
    std::lock_guard const guard(mutex_);
    connections_.advance(now);
    if (!permit_available(now))
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
    return bounds_.steward && in_flight_ <= cold_start_.ramp_limit() &&
           !cold_start_.backing_off(now);
}

void target_gate::update_failure_rate(attempt_outcome outcome, time_point now)
{
    switch (outcome)
    {
    case attempt_outcome::answered:
        failure_rate_.record(false, now);
        break;
    case attempt_outcome::failed:
    case attempt_outcome::malformed:
    case attempt_outcome::broken:
    case attempt_outcome::timed_out:
    case attempt_outcome::connect_failed:
        failure_rate_.record(true, now);
        break;
    default:
        break; // carries no information on the quality of answers
    }
}

double target_gate::failure_rate(time_point now) const
{
    std::lock_guard const guard(mutex_);
    return failure_rate_.rate_at(now);
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
    update_failure_rate(outcome, now);
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
        cold_start_.on_cancelled(now);
        break;
    case attempt_outcome::connect_failed:
        ++failed_;
        cold_start_.on_unreachable(now);
        break;
    case attempt_outcome::broken:
        ++failed_;
        cold_start_.on_disconnect(now);
        break;
    case attempt_outcome::failed:
        // Not a sign of a cold target: a caller's requests may fail everywhere.
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
    reset_limit_if_warmed(before);
}

/// A target that has just become warm starts with an equal share of its slots.
void target_gate::reset_limit_if_warmed(warmth before)
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
        cold_start_.on_failure(now);
        return;
    }
    bool const was_at_minimum = limit_.at_minimum();
    limit_.on_overload(sent, now);
    if (was_at_minimum && failures_.add(sent, now))
    {
        cold_start_.mark_cold(now);
    }
}

void target_gate::on_timed_out(duration waited, time_point now)
{
    bool const conclusive = waited >= latency_.smoothed() * min_timeout_ratio;
    latency_.record_unanswered(waited, now);
    if (conclusive || !cold_start_.warm())
    {
        on_refused(now - waited, now);
    }
}

void target_gate::on_connection_lost(time_point now)
{
    std::lock_guard const guard(mutex_);
    cold_start_.on_disconnect(now);
}

void target_gate::observe(warmth seen, time_point now)
{
    std::lock_guard const guard(mutex_);
    auto const before = cold_start_.seen();
    cold_start_.observe(seen, now);
    reset_limit_if_warmed(before);
}

warmth target_gate::seen() const
{
    std::lock_guard const guard(mutex_);
    return cold_start_.seen();
}

bool target_gate::open(time_point now) const
{
    std::lock_guard const guard(mutex_);
    return permit_available(now);
}

double target_gate::load(time_point now) const
{
    std::lock_guard const guard(mutex_);
    if (!permit_available(now))
    {
        return 1.0 + in_flight_;
    }
    return in_flight_ / concurrency_limit();
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
    status.limit = concurrency_limit();
    status.in_flight = in_flight_;
    status.connections = connections_.share();
    status.latency = latency_.smoothed();
    status.sent = sent_;
    status.refused = refused_;
    status.failed = failed_;
    return status;
}

} // namespace kumquatramp
