// Summary of a request, logged at its end.
#include "details/engine_details.hpp"
#include <base/random_source.hpp>
#include <base/string_memory.hpp>

namespace kumquatramp::serving
{

namespace
{

char const* verb(try_state state)
{
    switch (state)
    {
    case try_state::refused:
        return " refused-by ";
    case try_state::unsent:
        return " unsent-to ";
    case try_state::sent:
        break;
    }
    return " sent-to ";
}

std::string describe(shard_progress const& s)
{
    std::string text(s.service);
    text += s.current_state == shard_progress::state::answered   ? " answered"
            : s.current_state == shard_progress::state::lost     ? " lost"
            : s.current_state == shard_progress::state::deferred ? " deferred"
                                                                 : " waiting";
    for (auto const& t : s.tries)
    {
        text += verb(t.state);
        text += t.to->record.id;
        if (t.to->overdue > 0)
        {
            text += "(overdue)";
        }
    }
    if (s.cause[0] != '\0')
    {
        text.append(", last: ").append(s.cause);
    }
    if (s.status != 0)
    {
        text += ", status " + std::to_string(s.status);
    }
    return text;
}

} // namespace

void request_engine::details::finish(running_request& r, bool failed,
                                     std::string_view outcome, time_point now)
{
    r.finished = true;
    bool const partial =
        r.matched_route->scatters() &&
        r.count(shard_state::answered) < static_cast<int>(r.shards.size());
    bool const late = now - r.arrived > r.matched_route->latency_objective;
    summary_kind const kind = failed            ? summary_kind::failed
                              : partial || late ? summary_kind::degraded
                                                : summary_kind::served;
    if (kind != summary_kind::served || random_.unit() < options_.told_share)
    {
        port_.log_request(r.handle, summarize(r, kind, outcome, now));
    }
    for (auto& s : r.shards)
    {
        r.held_bytes -= heap_bytes(s.part);
        held_bytes_ -= heap_bytes(s.part);
        free_memory(s.part);
    }
    port_.release_request(r.handle);
}

request_summary request_engine::details::summarize(running_request const& r,
                                                   summary_kind kind,
                                                   std::string_view outcome,
                                                   time_point now) const
{
    request_summary summary{.kind = kind,
                            .outcome = outcome,
                            .route = r.matched_route->name,
                            .version = r.catalogue->version(),
                            .version_age = now - confirmed_at_,
                            .took = now - r.arrived,
                            .shards = static_cast<int>(r.shards.size()),
                            .missing = 0,
                            .details = {}};
    for (auto const& s : r.shards)
    {
        bool const answered = s.current_state == shard_state::answered;
        summary.missing += answered ? 0 : 1;
        if (!answered || s.sends > 1)
        {
            summary.details += summary.details.empty() ? "" : "; ";
            summary.details += describe(s);
        }
    }
    return summary;
}

} // namespace kumquatramp::serving
