// The cold-start ramp and the warmth epochs.
#include <algorithm>
#include <limits/cold_start.hpp>
#include <limits>

namespace kumquatramp
{
namespace
{

/// Consecutive answers after which the ramp limit doubles. A target that has
/// just started sustains one attempt at a time until it has served enough of
/// them to fill its caches; how many that takes is not known. The first step
/// therefore requires many answers: under heavy traffic they take little time,
/// and under light traffic a limit of 1 suffices.
constexpr std::uint32_t answers_at_ramp_start = 64;
constexpr std::uint32_t answers_per_ramp_step = 8;

std::uint32_t answers_to_advance(std::uint32_t ramp_limit)
{
    return ramp_limit == 1 ? answers_at_ramp_start : answers_per_ramp_step;
}

/// Backoff after a failure; doubles up to the maximum until an answer arrives.
constexpr duration min_backoff = 50ms;
constexpr duration max_backoff = 1s;

} // namespace

void cold_start::on_answer(std::uint32_t slots, bool slow, time_point sent,
                           time_point now)
{
    backoff_ = duration{0};
    if (sent >= state_since_)
    {
        answered_in_epoch_ = true;
    }
    if (warmth_.warm || slow || sent < ramp_limit_since_)
    {
        return;
    }
    ++consecutive_answers_;
    if (consecutive_answers_ < answers_to_advance(ramp_limit_))
    {
        return;
    }
    if (ramp_limit_ < slots)
    {
        ramp_limit_ = std::min(ramp_limit_ * 2, slots);
        consecutive_answers_ = 0;
        ramp_limit_since_ = now;
    }
    else
    {
        set_warmth({warmth_.epoch, true}, now);
        answered_in_epoch_ = true;
    }
}

void cold_start::on_failure(time_point now)
{
    restart_ramp(now);
    backoff_ = std::clamp(backoff_ * 2, min_backoff, max_backoff);
    backoff_until_ = std::max(backoff_until_, now + backoff_);
}

void cold_start::on_cancelled(time_point now)
{
    if (!warmth_.warm)
    {
        backoff_until_ = std::max(backoff_until_, now + min_backoff);
    }
}

void cold_start::on_disconnect(time_point now)
{
    begin_cold_epoch(now);
    ignore_warm_until_ = now + notice_propagation_time;
    on_failure(now);
}

void cold_start::on_unreachable(time_point now)
{
    if (answered_in_epoch_)
    {
        on_disconnect(now);
        return;
    }
    on_failure(now);
}

void cold_start::mark_cold(time_point now)
{
    begin_cold_epoch(now);
    on_failure(now);
}

void cold_start::observe(warmth seen, time_point now)
{
    if (seen <= warmth_)
    {
        return;
    }
    if (!seen.warm || now >= ignore_warm_until_)
    {
        set_warmth(seen, now);
    }
    else if (seen.epoch > warmth_.epoch)
    {
        set_warmth({seen.epoch, false}, now);
    }
}

void cold_start::restart_ramp(time_point now)
{
    ramp_limit_ = 1;
    consecutive_answers_ = 0;
    ramp_limit_since_ = now;
}

void cold_start::set_warmth(warmth next, time_point now)
{
    warmth_ = next;
    state_since_ = now;
    answered_in_epoch_ = false;
    backoff_ = duration{0};
    backoff_until_ = now;
    restart_ramp(now);
}

/// Begins a new cold epoch unless the target is already cold.
void cold_start::begin_cold_epoch(time_point now)
{
    constexpr auto last = std::numeric_limits<std::uint32_t>::max();
    if (warmth_.warm)
    {
        auto const next = warmth_.epoch < last ? warmth_.epoch + 1 : last;
        set_warmth({next, false}, now);
    }
}

} // namespace kumquatramp
