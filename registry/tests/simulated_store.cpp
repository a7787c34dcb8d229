// Decides when and how each call of the follower ends.
#include "simulated_store.hpp"
#include <algorithm>
#include <registry/store_follower.hpp>

namespace kumquatramp::registry::testing
{

namespace
{

constexpr duration answer_time = 4ms;
constexpr duration list_timeout = 1500ms;

} // namespace

simulated_store::simulated_store(std::vector<phase> phases,
                                 std::vector<time_point> changes,
                                 random_source& random)
    : phases_(std::move(phases))
    , changes_(std::move(changes))
    , random_(random)
{
}

phase const& simulated_store::phase_at(time_point at) const
{
    return *std::find_if(phases_.begin(), phases_.end(),
                         [&](phase const& p) { return at < p.end; });
}

std::uint64_t simulated_store::revision_at(time_point at) const
{
    return static_cast<std::uint64_t>(
        std::upper_bound(changes_.begin(), changes_.end(), at) -
        changes_.begin());
}

void simulated_store::list(std::string const&)
{
    start(duration::zero(), 0);
    if (call_->failure == store_failure::unavailable)
    {
        call_->ends = now + list_timeout;
    }
}

void simulated_store::watch(std::uint64_t revision, duration wait)
{
    start(wait, revision);
}

void simulated_store::start(duration wait, std::uint64_t revision)
{
    ++calls;
    phase const& present = phase_at(now);
    time_point const given_up = now + wait + response_margin;
    call_ = open_call{.ends = now + answer_time, .revision = revision};
    if (present.what == condition::busy)
    {
        call_->failure = store_failure::busy;
        return;
    }
    time_point const change =
        revision < changes_.size() ? std::max(changes_[revision], now) : never;
    call_->ends = std::min(change, now + wait) + answer_time;
    if (cut_after && wait > duration::zero())
    {
        auto const [least, most] = *cut_after;
        time_point const cut = now + least +
                               std::chrono::duration_cast<duration>(
                                   (most - least) * random_.unit());
        if (cut < call_->ends)
        {
            call_->ends = cut;
            call_->failure = store_failure::interrupted;
        }
    }
    if (present.what == condition::silent || call_->ends >= present.end)
    {
        call_->ends = given_up;
        call_->failure = store_failure::unavailable;
    }
}

void simulated_store::run(store_follower& follower, time_point at)
{
    if (!call_ || at < call_->ends)
    {
        return;
    }
    open_call const ended = *call_;
    call_.reset();
    if (ended.failure)
    {
        follower.on_failure(*ended.failure, "by the test", at);
        return;
    }
    store_answer answer;
    answer.revision = revision_at(at - answer_time / 2);
    for (auto r = ended.revision; r < answer.revision; ++r)
    {
        answer.items.push_back({std::to_string(r), "", false});
    }
    follower.on_answer(answer, at);
}

} // namespace kumquatramp::registry::testing
