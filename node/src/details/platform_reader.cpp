// Long-polling reads of the platform, with backoff after failures.
#include "details/platform_reader.hpp"
#include <algorithm>

namespace kumquatramp
{

platform_reader::platform_reader(config_store const& store, duration wait,
                                 duration retry, random_source& random)
    : store_(store)
    , wait_(wait)
    , retry_(retry)
    , random_(random)
{
}

void platform_reader::read_due(time_point now, action_list& out)
{
    std::lock_guard const guard(mutex_);
    for (auto const key : all_config_keys)
    {
        auto& state = state_of(key);
        if (!state.pending && state.due <= now)
        {
            state.pending = true;
            state.started = now;
            out.push_back(read_platform{key, store_.stamp(key).version, wait_});
        }
    }
}

void platform_reader::on_answer(config_key key, time_point asked)
{
    std::lock_guard const guard(mutex_);
    auto& state = state_of(key);
    state.pending = false;
    state.answered = std::max(state.answered.value_or(asked), asked);
}

void platform_reader::on_failure(config_key key, time_point now)
{
    std::lock_guard const guard(mutex_);
    auto& state = state_of(key);
    state.pending = false;
    auto const factor = 0.5 + random_.unit();
    state.due =
        std::max(now, state.started +
                          duration(static_cast<duration::rep>(
                              static_cast<double>(retry_.count()) * factor)));
}

std::optional<time_point> platform_reader::oldest_answer() const
{
    std::lock_guard const guard(mutex_);
    time_point oldest = never;
    for (auto const& state : keys_)
    {
        if (!state.answered)
        {
            return std::nullopt;
        }
        oldest = std::min(oldest, *state.answered);
    }
    return oldest;
}

time_point platform_reader::next() const
{
    std::lock_guard const guard(mutex_);
    time_point next = never;
    for (auto const& state : keys_)
    {
        next = state.pending ? next : std::min(next, state.due);
    }
    return next;
}

} // namespace kumquatramp
