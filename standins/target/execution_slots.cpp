// Simulates the execution slots, queue and cold start of one stand-in target.
#include <standins/target/execution_slots.hpp>

namespace kumquatramp::standins
{

namespace
{

constexpr std::size_t max_cancelled = 10'000;

std::chrono::nanoseconds to_nanoseconds(milliseconds time)
{
    return std::chrono::duration_cast<std::chrono::nanoseconds>(time);
}

} // namespace

execution_slots::execution_slots(target_settings settings)
    : random_(settings.seed)
    , settings_(std::move(settings))
{
}

admitted_execution execution_slots::acquire_slot(steady_time_point deadline)
{
    std::unique_lock lock(mutex_);
    admitted_execution admission;
    admission.cold = cold();
    admission.in_flight = busy_ + waiting_ + 1;
    auto const now = std::chrono::steady_clock::now();
    if (settings_.drain)
    {
        admission.verdict = admission_verdict::draining;
        return admission;
    }
    if (admission.cold && admission.in_flight > settings_.cold_slots)
    {
        collapsed_until_ = now + to_nanoseconds(settings_.collapse_time);
    }
    if (now < collapsed_until_)
    {
        admission.verdict = admission_verdict::collapsed;
        return admission;
    }
    if (admission.in_flight > settings_.slots + settings_.queue)
    {
        return admission;
    }
    ++waiting_;
    bool const got = changed_.wait_until(
        lock, deadline, [this] { return busy_ < usable_slots(); });
    --waiting_;
    if (got)
    {
        ++busy_;
        admission.verdict = admission_verdict::admitted;
    }
    return admission;
}

execution_outcome
execution_slots::simulate_execution(std::string const& attempt, bool idempotent,
                                    steady_time_point deadline)
{
    std::unique_lock lock(mutex_);
    auto const end = std::chrono::steady_clock::now() + draw_service_time();
    if (!idempotent)
    {
        changed_.wait_until(lock, end, [] { return false; });
        return execution_outcome::done;
    }
    bool const cancelled =
        changed_.wait_until(lock, std::min(end, deadline),
                            [&] { return cancelled_.erase(attempt) > 0; });
    if (cancelled)
    {
        return execution_outcome::cancelled;
    }
    return end <= deadline ? execution_outcome::done : execution_outcome::late;
}

void execution_slots::release_slot()
{
    std::lock_guard const guard(mutex_);
    --busy_;
    ++served_;
    changed_.notify_all();
}

void execution_slots::cancel(std::string const& attempt)
{
    std::lock_guard const guard(mutex_);
    if (cancelled_.size() >= max_cancelled)
    {
        cancelled_.clear();
    }
    cancelled_.insert(attempt);
    changed_.notify_all();
}

void execution_slots::apply_settings(target_settings const& settings)
{
    std::lock_guard const guard(mutex_);
    if (settings.restarts != settings_.restarts)
    {
        served_ = 0;
        collapsed_until_ = {};
    }
    settings_ = settings;
    changed_.notify_all();
}

target_settings execution_slots::settings() const
{
    std::lock_guard const guard(mutex_);
    return settings_;
}

std::uint32_t execution_slots::busy() const
{
    std::lock_guard const guard(mutex_);
    return busy_;
}

std::uint32_t execution_slots::waiting() const
{
    std::lock_guard const guard(mutex_);
    return waiting_;
}

bool execution_slots::cold() const
{
    return served_ < settings_.warm_after;
}

std::uint32_t execution_slots::usable_slots() const
{
    return cold() ? std::min(settings_.cold_slots, settings_.slots)
                  : settings_.slots;
}

std::chrono::nanoseconds execution_slots::draw_service_time()
{
    auto time = settings_.service_time * (0.5 + random_.unit());
    if (random_.unit() < settings_.straggle_share)
    {
        time *= settings_.straggle_factor;
    }
    return to_nanoseconds(time);
}

} // namespace kumquatramp::standins
