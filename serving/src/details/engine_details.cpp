// Progress of a request after its admission, and timers.
#include "details/engine_details.hpp"
#include <algorithm>
#include <base/error_answer.hpp>
#include <cmath>
#include <serving/client_answer.hpp>
#include <serving/fleet_size.hpp>
#include <serving/part_merge.hpp>
#include <serving/target_table.hpp>

namespace kumquatramp::serving
{

request_engine::details::details(serving_options options, random_source& random,
                                 target_table& table, fleet_size const& fleet,
                                 warmup_share& warmup, engine_port& port)
    : options_(options)
    , random_(random)
    , table_(table)
    , fleet_(fleet)
    , warmup_(warmup)
    , port_(port)
{
}

void request_engine::details::set_options(serving_options const& options)
{
    options_ = options;
    for (auto& [service, b] : budgets_)
    {
        b.configure(options_.retry_ratio, options_.retry_slack,
                    options_.retry_window, options_.started);
    }
}

void request_engine::details::end_by(time_point end)
{
    end_at_ = end;
    for (auto& [handle, r] : requests_)
    {
        if (!r.finished && r.deadline > end)
        {
            r.deadline = end;
            timers_.push({end, timer_kind::request_expires, handle});
        }
    }
}

route_statistics&
request_engine::details::statistics(route const& matched_route)
{
    return statistics_
        .try_emplace(matched_route.name, matched_route.latency_objective)
        .first->second;
}

retry_budget& request_engine::details::budget(std::string_view service)
{
    auto found = budgets_.find(service);
    if (found == budgets_.end())
    {
        found = budgets_.emplace(std::string(service), retry_budget{}).first;
        found->second.configure(options_.retry_ratio, options_.retry_slack,
                                options_.retry_window, options_.started);
    }
    return found->second;
}

std::optional<double> request_engine::details::least_budget_left(time_point now)
{
    std::optional<double> least;
    int const hosts = fleet_.hosts(now);
    for (auto& [service, b] : budgets_)
    {
        double const left = b.left(retry_budget::use::retry, hosts, now);
        least = least ? std::min(*least, left) : left;
    }
    return least;
}

int request_engine::details::needed(running_request const& r) const
{
    if (!r.matched_route->scatters())
    {
        return 1;
    }
    constexpr double rounding = 1e-9;
    auto const shards = static_cast<double>(r.shards.size());
    return std::max(1, static_cast<int>(std::ceil(
                           r.matched_route->min_coverage * shards - rounding)));
}

void request_engine::details::try_complete(running_request& r, time_point now)
{
    if (r.finished)
    {
        return;
    }
    send_deferred(r, now);
    int const answered = r.count(shard_state::answered);
    int const waiting = r.count(shard_state::waiting);
    int const lost = r.count(shard_state::lost);
    int const total = static_cast<int>(r.shards.size());
    int const need = needed(r);
    if (total - lost < need)
    {
        fail(r, error_kind::target_failed, now);
        return;
    }
    if (r.matched_route->scatters() && answered >= need &&
        (waiting == 0 || now >= r.partial_answer_at))
    {
        answer_merged(r, now);
    }
}

void request_engine::details::send_deferred(running_request& r, time_point now)
{
    // A late shard may still answer: one that is sent beside it is not lost if
    // that is impossible now.
    int required = needed(r) - r.count(shard_state::answered) -
                   r.count(shard_state::waiting);
    int missing = needed(r) - r.expected();
    time_point next = never;
    for (std::size_t i = 0; i < r.shards.size() && missing > 0; ++i)
    {
        auto& s = r.shards[i];
        if (s.current_state != shard_state::deferred)
        {
            continue;
        }
        --missing;
        if (now < s.resend_at)
        {
            next = std::min(next, s.resend_at);
            continue;
        }
        s.current_state = shard_state::waiting;
        if (may_retry(s, now) && send(r, i, false, now))
        {
            --required;
            continue;
        }
        s.current_state =
            required > 0 ? shard_state::lost : shard_state::deferred;
        ++missing;
    }
    if (next != never)
    {
        timers_.push({next, timer_kind::request_completion_check, r.handle});
    }
}

void request_engine::details::defer_or_lose(running_request& r,
                                            shard_progress& s, time_point now)
{
    auto const& last = s.tries;
    bool const refused = std::any_of(last.begin(), last.end(),
                                     [&](target_try const& t) {
                                         return t.state == try_state::refused &&
                                                table_.may_send(*t.to);
                                     });
    // A target that is full now may have room after one service time.
    duration const pause = std::chrono::duration_cast<duration>(
        statistics(*r.matched_route).latency.usual() * (1.0 + random_.unit()));
    if (refused && s.sends < options_.max_sends &&
        (r.matched_route->idempotent || !s.may_have_run) &&
        now + pause < r.deadline)
    {
        s.current_state = shard_state::deferred;
        s.resend_at = now + pause;
        return;
    }
    s.current_state = shard_state::lost;
}

void request_engine::details::answer_merged(running_request& r, time_point now)
{
    client_answer merged;
    merged.what = client_answer::form::merged;
    merged.type = r.type();
    std::vector<std::string const*> parts;
    for (auto const& s : r.shards)
    {
        if (s.current_state != shard_state::answered)
        {
            ++merged.missing_parts;
            continue;
        }
        parts.push_back(&s.part);
        if (!merged.part_stamps.empty())
        {
            merged.part_stamps += ", ";
        }
        merged.part_stamps += s.stamp;
    }
    merged.body = merge_parts(
        parts, static_cast<std::size_t>(r.matched_route->top_records));
    bool const partial = merged.missing_parts > 0;
    port_.answer(r.handle, std::move(merged));
    finish(r, false, partial ? "answered_in_part" : "answered", now);
}

void request_engine::details::fail(running_request& r, error_kind error,
                                   time_point now)
{
    bool const certainly_not_run = !r.may_have_run() && r.outstanding == 0 &&
                                   (error == error_kind::target_failed ||
                                    error == error_kind::target_timeout);
    duration min_retry_after{};
    if (certainly_not_run)
    {
        error = error_kind::overloaded;
        min_retry_after = retry_after(coverage_wait(r, now));
    }
    refuse(r.handle, r.type(), error, min_retry_after);
    finish(r, true, answer_of(error).code, now);
}

void request_engine::details::erase_if_finished(request_handle request)
{
    auto const found = requests_.find(request);
    if (found != requests_.end() && found->second.finished &&
        found->second.outstanding == 0)
    {
        held_bytes_ -= found->second.held_bytes;
        requests_.erase(found);
    }
}

void request_engine::details::client_gone(request_handle request,
                                          time_point now)
{
    auto const found = requests_.find(request);
    if (found == requests_.end())
    {
        return;
    }
    running_request& r = found->second;
    if (!r.finished)
    {
        finish(r, true, "client_left", now);
    }
    if (r.matched_route->idempotent)
    {
        for (auto& [id, a] : attempts_)
        {
            if (a.request == request && !a.abandoned)
            {
                a.abandoned = true;
                port_.abandon_attempt(id);
            }
        }
    }
    erase_if_finished(request);
}

void request_engine::details::tick(time_point now)
{
    while (!timers_.empty() && timers_.top().at <= now)
    {
        timer const due = timers_.top();
        timers_.pop();
        switch (due.kind)
        {
        case timer_kind::attempt_overdue:
            on_overdue(due.subject, now);
            break;
        case timer_kind::attempt_expired:
            on_attempt_expired(due.subject);
            break;
        case timer_kind::request_completion_check:
            if (auto const r = requests_.find(due.subject);
                r != requests_.end())
            {
                try_complete(r->second, now);
                erase_if_finished(due.subject);
            }
            break;
        case timer_kind::request_expires:
            on_expired(due.subject, now);
            break;
        }
    }
}

void request_engine::details::on_attempt_expired(attempt_handle attempt)
{
    auto const found = attempts_.find(attempt);
    if (found != attempts_.end())
    {
        port_.abandon_attempt(attempt);
    }
}

void request_engine::details::on_expired(request_handle request, time_point now)
{
    auto const found = requests_.find(request);
    if (found == requests_.end() || found->second.finished)
    {
        return;
    }
    running_request& r = found->second;
    if (r.matched_route->scatters() &&
        r.count(shard_state::answered) >= needed(r))
    {
        answer_merged(r, now);
    }
    else
    {
        fail(r, error_kind::target_timeout, now);
    }
    erase_if_finished(request);
}

} // namespace kumquatramp::serving
