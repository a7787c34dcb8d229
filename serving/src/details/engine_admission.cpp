// Admission of requests: refusals, route look-up and first sends.
#include "details/engine_details.hpp"
#include <algorithm>
#include <base/error_answer.hpp>
#include <serving/client_answer.hpp>
#include <serving/target_table.hpp>

namespace kumquatramp::serving
{

namespace
{

/// Longest Retry-After: by then limits and the fleet may have changed.
constexpr duration max_retry_after = 5s;

} // namespace

duration request_engine::details::retry_after(duration wait)
{
    return wait == duration::max() ? duration::zero()
                                   : std::min(wait, max_retry_after);
}

void request_engine::details::refuse(request_handle request, request_type type,
                                     error_kind error, duration min_retry_after)
{
    client_answer refusal;
    refusal.type = type;
    refusal.error = error;
    if (answer_of(error).retry_after)
    {
        bool const unready =
            error == error_kind::not_ready || error == error_kind::no_target;
        duration const base = std::max(unready ? options_.unready_retry_after
                                               : options_.busy_retry_after,
                                       min_retry_after);
        // Jitter, so that refused clients do not all retry at once.
        refusal.retry_after = std::chrono::duration_cast<duration>(
            base * (0.75 + 0.5 * random_.unit()));
    }
    port_.answer(request, std::move(refusal));
}

void request_engine::details::refuse_unadmitted(request_handle request,
                                                error_kind error,
                                                time_point now)
{
    request_summary summary;
    summary.outcome = answer_of(error).code;
    summary.version = catalogue_ ? catalogue_->version() : 0;
    summary.version_age = now - confirmed_at_;
    refuse(request, request_type::unrouted, error);
    port_.log_request(request, summary);
    port_.release_request(request);
}

void request_engine::details::refuse_unsent(running_request const& r,
                                            error_kind error, time_point now,
                                            duration min_retry_after)
{
    refuse(r.handle, r.type(), error, min_retry_after);
    port_.log_request(r.handle, summarize(r, summary_kind::failed,
                                          answer_of(error).code, now));
    port_.release_request(r.handle);
}

void request_engine::details::submit(client_request const& request,
                                     time_point now)
{
    if (!catalogue_)
    {
        refuse_unadmitted(request.handle, error_kind::not_ready, now);
        return;
    }
    route const* matched_route = catalogue_->find(request.host, request.path);
    if (matched_route == nullptr)
    {
        refuse_unadmitted(request.handle, error_kind::unknown_path, now);
        return;
    }
    if (matched_route->unusable())
    {
        refuse_unadmitted(request.handle, error_kind::no_target, now);
        return;
    }
    if (requests_.size() >= options_.max_in_progress)
    {
        refuse_unadmitted(request.handle, error_kind::overloaded, now);
        return;
    }
    admit(request, *matched_route, now);
}

std::string const&
request_engine::details::choose_service(route const& matched_route)
{
    double total = 0;
    for (auto const& part : matched_route.split)
    {
        total += part.weight;
    }
    double at = random_.unit() * total;
    for (auto const& part : matched_route.split)
    {
        at -= part.weight;
        if (at < 0)
        {
            return part.service;
        }
    }
    return matched_route.split.back().service;
}

duration request_engine::details::coverage_wait(running_request const& r,
                                                time_point now) const
{
    auto const wait = [&](shard_progress const& s)
    { return service_wait(s.service, now); };
    int const ready = static_cast<int>(std::count_if(
        r.shards.begin(), r.shards.end(),
        [&](shard_progress const& s) { return wait(s) == duration::zero(); }));
    if (ready >= needed(r))
    {
        return duration::zero();
    }
    std::vector<duration> waits(r.shards.size());
    std::transform(r.shards.begin(), r.shards.end(), waits.begin(), wait);
    auto const last = waits.begin() + (needed(r) - 1);
    std::nth_element(waits.begin(), last, waits.end());
    return *last;
}

void request_engine::details::admit(client_request const& request,
                                    route const& matched_route, time_point now)
{
    running_request r;
    r.handle = request.handle;
    r.catalogue = catalogue_;
    r.matched_route = &matched_route;
    r.arrived = now;
    duration wait = matched_route.timeout;
    duration spent{};
    if (request.time_left > duration::zero())
    {
        wait = std::min(wait, request.time_left);
        spent =
            statistics(matched_route).estimate_spent_time(request.time_left);
    }
    r.deadline = std::min(now + wait, end_at_);
    r.partial_answer_at = now + std::max(matched_route.latency_objective -
                                             spent - options_.answer_margin,
                                         matched_route.latency_objective / 4);
    if (matched_route.scatters())
    {
        for (auto const& service : matched_route.shards)
        {
            r.shards.push_back({.service = service});
        }
    }
    else
    {
        r.shards.push_back({.service = choose_service(matched_route)});
    }
    if (r.deadline == end_at_ &&
        now + statistics(matched_route).latency.overdue_after() > end_at_)
    {
        // Another host has the time to serve it.
        refuse_unsent(r, error_kind::leaving, now);
        return;
    }
    for (auto const& s : r.shards)
    {
        budget(s.service).count_request(now);
    }
    if (duration const wait = coverage_wait(r, now); wait > duration::zero())
    {
        // Sends to the shards that have room would be wasted.
        refuse_unsent(r,
                      wait == duration::max() ? error_kind::no_target
                                              : error_kind::overloaded,
                      now, retry_after(wait));
        return;
    }
    r.held_bytes = sizeof(running_request) +
                   r.shards.size() * running_request::shard_bytes;
    held_bytes_ += r.held_bytes;
    auto& running = requests_.emplace(r.handle, std::move(r)).first->second;
    timers_.push(
        {running.deadline, timer_kind::request_expires, running.handle});
    if (matched_route.scatters() &&
        running.partial_answer_at < running.deadline)
    {
        timers_.push({running.partial_answer_at,
                      timer_kind::request_completion_check, running.handle});
    }
    for (std::size_t i = 0; i < running.shards.size(); ++i)
    {
        auto& s = running.shards[i];
        if (!send(running, i, false, now) &&
            s.current_state == shard_state::waiting)
        {
            s.current_state = shard_state::lost;
            s.cause = "no target";
        }
    }
    try_complete(running, now);
    erase_if_finished(request.handle);
}

} // namespace kumquatramp::serving
