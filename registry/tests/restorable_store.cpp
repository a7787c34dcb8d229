// Answers calls from the list of all changes of the present era.
#include "restorable_store.hpp"
#include <algorithm>
#include <map>
#include <registry/store_follower.hpp>

namespace kumquatramp::registry::testing
{

namespace
{

constexpr duration answer_time = 4ms;
constexpr std::size_t items_per_page = 3;

} // namespace

void restorable_store::list(std::string const& after)
{
    call_ = open_call{.listing = true, .after = after, .started = now};
}

void restorable_store::watch(std::uint64_t revision, duration wait)
{
    call_ =
        open_call{.revision = revision, .started = now, .until = now + wait};
}

void restorable_store::put(std::string const& key, std::string const& value)
{
    write({key, value, false});
}

void restorable_store::remove(std::string const& key)
{
    write({key, "", true});
}

void restorable_store::write(store_item item)
{
    changes_.push_back({std::move(item), now});
}

std::vector<store_item> restorable_store::restore(time_point copied_at)
{
    auto const first =
        std::find_if(changes_.begin(), changes_.end(),
                     [&](change const& c) { return c.at > copied_at; });
    std::vector<store_item> lost;
    for (auto it = first; it != changes_.end(); ++it)
    {
        lost.push_back(it->item);
    }
    changes_.erase(first, changes_.end());
    ++era_;
    return lost;
}

std::optional<store_failure>
restorable_store::failure(open_call const& call) const
{
    if (away_)
    {
        return now - call.started < answer_time ? store_failure::unavailable
                                                : store_failure::interrupted;
    }
    return !call.listing && call.revision > changes_.size()
               ? std::optional(store_failure::history_lost)
               : std::nullopt;
}

std::optional<store_answer>
restorable_store::answer(open_call const& call) const
{
    store_answer answer;
    answer.revision = changes_.size();
    if (!call.listing)
    {
        for (auto r = call.revision; r < changes_.size(); ++r)
        {
            answer.items.push_back(changes_[r].item);
        }
        return answer.items.empty() && now < call.until ? std::nullopt
                                                        : std::optional(answer);
    }
    std::map<std::string, store_item> items;
    for (auto const& c : changes_)
    {
        items[c.item.key] = c.item;
    }
    std::erase_if(items,
                  [](auto const& entry) { return entry.second.deleted; });
    auto it = items.upper_bound(call.after);
    for (; it != items.end() && answer.items.size() < items_per_page; ++it)
    {
        answer.items.push_back(it->second);
    }
    answer.more = it != items.end();
    return answer;
}

void restorable_store::run(store_follower& follower)
{
    if (!call_ || (now - call_->started < answer_time && !away_))
    {
        return;
    }
    open_call const call = *call_;
    auto const failed = failure(call);
    auto const answered = failed ? std::nullopt : answer(call);
    if (!failed && !answered)
    {
        return;
    }
    call_.reset();
    if (states_era && !away_)
    {
        follower.on_era(era_);
    }
    if (failed)
    {
        follower.on_failure(*failed, "by the test", now);
    }
    else
    {
        follower.on_answer(*answered, now);
    }
}

} // namespace kumquatramp::registry::testing
