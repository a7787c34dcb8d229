// Request states and the transitions between them.
#include <algorithm>
#include <details/ledger_shard.hpp>
#include <iterator>
#include <utility>

namespace kumquatramp::details
{

namespace
{

bool is_ended(request_state state)
{
    return state == request_state::ran || state == request_state::not_run ||
           state == request_state::unknown;
}

// Whether the later final state is definite and the earlier one is not.
bool is_more_certain(request_state later, request_state earlier)
{
    return earlier == request_state::unknown && later != request_state::unknown;
}

request_outcome not_run(error_kind why)
{
    return {request_state::not_run, why, {}};
}

} // namespace

ledger_shard::ledger_shard(shard_options const& options)
    : options_(options)
{
}

bool ledger_shard::add(std::uint64_t sequence, time_point now)
{
    std::lock_guard const guard(mutex_);
    if (!make_room())
    {
        return false;
    }
    unused_.push_back({sequence, now, {request_state::unused, {}, {}}});
    by_sequence_.emplace(sequence, std::prev(unused_.end()));
    return true;
}

bool ledger_shard::make_room()
{
    // Unused ids are limited to half of the capacity, so that a flood of them
    // evicts its own oldest ids, and neither evicts outcomes nor blocks the
    // issue of new ids.
    auto const max_unused = std::max<std::size_t>(options_.capacity / 2, 1);
    if (unused_.size() >= max_unused)
    {
        by_sequence_.erase(unused_.front().sequence);
        unused_.pop_front();
        return true;
    }
    if (by_sequence_.size() < options_.capacity)
    {
        return true;
    }
    if (ended_.empty())
    {
        return false;
    }
    drop_oldest_ended();
    return true;
}

result<void> ledger_shard::admit(std::uint64_t sequence, time_point now)
{
    std::lock_guard const guard(mutex_);
    auto* const found = find(sequence);
    if (found == nullptr)
    {
        return failure(error_kind::outcome_unknown,
                       "the request id is no longer kept");
    }
    end_if_expired(*found, now);
    auto& outcome = found->outcome;
    bool const expired_unused = outcome.state == request_state::not_run &&
                                outcome.error == error_kind::invalid_request_id;
    if (expired_unused)
    {
        return failure(error_kind::invalid_request_id,
                       "the request id expired unused");
    }
    if (outcome.state != request_state::unused)
    {
        return failure(error_kind::duplicate_request,
                       "the request id has been presented before");
    }
    outcome.state = request_state::waiting;
    active_.splice(active_.end(), unused_, by_sequence_.at(sequence));
    return boost::outcome_v2::success();
}

bool ledger_shard::begin_send(std::uint64_t sequence)
{
    std::lock_guard const guard(mutex_);
    auto* const found = find(sequence);
    if (found == nullptr || found->outcome.state != request_state::waiting)
    {
        return false;
    }
    found->outcome.state = request_state::sent;
    return true;
}

void ledger_shard::return_unsent(std::uint64_t sequence)
{
    std::lock_guard const guard(mutex_);
    auto* const found = find(sequence);
    if (found != nullptr && found->outcome.state == request_state::sent)
    {
        found->outcome.state = request_state::waiting;
    }
}

void ledger_shard::finish(std::uint64_t sequence, request_outcome outcome,
                          time_point now)
{
    std::lock_guard const guard(mutex_);
    auto* const found = find(sequence);
    if (found == nullptr)
    {
        return;
    }
    auto const state = found->outcome.state;
    if (!is_ended(state) || is_more_certain(outcome.state, state))
    {
        end(*found, std::move(outcome), now);
    }
}

bool ledger_shard::cancel(std::uint64_t sequence, time_point now)
{
    std::lock_guard const guard(mutex_);
    auto* const found = find(sequence);
    if (found == nullptr)
    {
        return false;
    }
    end_if_expired(*found, now);
    auto const state = found->outcome.state;
    if (state != request_state::unused && state != request_state::waiting)
    {
        return false;
    }
    end(*found, not_run(error_kind::cancelled), now);
    return true;
}

request_outcome ledger_shard::outcome(std::uint64_t sequence, time_point now)
{
    std::lock_guard const guard(mutex_);
    auto* const found = find(sequence);
    if (found == nullptr)
    {
        return {request_state::unknown, error_kind::outcome_unknown, {}};
    }
    // A reported outcome must stay true. An expired id is therefore finished
    // here, not just reported as expired, so that a thread with an earlier
    // clock reading cannot admit it afterwards.
    end_if_expired(*found, now);
    return found->outcome;
}

void ledger_shard::expire(time_point now)
{
    std::lock_guard const guard(mutex_);
    while (!unused_.empty() && is_expired(unused_.front(), now))
    {
        end(unused_.front(), not_run(error_kind::invalid_request_id), now);
    }
    while (!ended_.empty() &&
           now - ended_.front().since >= options_.outcome_retention)
    {
        drop_oldest_ended();
    }
}

std::size_t ledger_shard::size() const
{
    std::lock_guard const guard(mutex_);
    return by_sequence_.size();
}

ledger_shard::entry* ledger_shard::find(std::uint64_t sequence)
{
    auto const found = by_sequence_.find(sequence);
    return found == by_sequence_.end() ? nullptr : &*found->second;
}

void ledger_shard::end(entry& ended, request_outcome outcome, time_point now)
{
    auto const position = by_sequence_.at(ended.sequence);
    auto& from = ended.outcome.state == request_state::unused ? unused_
                 : is_ended(ended.outcome.state)              ? ended_
                                                              : active_;
    ended.outcome = std::move(outcome);
    ended.since = now;
    ended_.splice(ended_.end(), from, position);
    store_response(ended);
}

bool ledger_shard::is_expired(entry const& unused, time_point now) const
{
    return now - unused.since >= options_.unused_lifetime;
}

void ledger_shard::end_if_expired(entry& candidate, time_point now)
{
    if (candidate.outcome.state == request_state::unused &&
        is_expired(candidate, now))
    {
        end(candidate, not_run(error_kind::invalid_request_id), now);
    }
}

void ledger_shard::store_response(entry const& ended)
{
    if (ended.outcome.response.empty())
    {
        return;
    }
    responses_.push_back(ended.sequence);
    response_bytes_ += ended.outcome.response.size();
    while (response_bytes_ > options_.response_bytes)
    {
        drop_oldest_response();
    }
}

void ledger_shard::drop_oldest_response()
{
    auto& outcome = by_sequence_.at(responses_.front())->outcome;
    response_bytes_ -= outcome.response.size();
    outcome.response = {};
    outcome.response_dropped = true;
    responses_.pop_front();
}

void ledger_shard::drop_oldest_ended()
{
    auto const& oldest = ended_.front();
    if (!responses_.empty() && responses_.front() == oldest.sequence)
    {
        drop_oldest_response();
    }
    by_sequence_.erase(oldest.sequence);
    ended_.pop_front();
}

} // namespace kumquatramp::details
