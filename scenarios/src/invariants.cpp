// Invariants that the log of every run must satisfy.
#include <algorithm>
#include <map>
#include <scenarios/invariants.hpp>
#include <set>

namespace kumquatramp::scenarios
{

namespace
{

std::string text_of(std::uint64_t number)
{
    return std::to_string(number);
}

} // namespace

violations check_at_most_once(run_log const& log)
{
    violations found;
    std::set<std::string> executed;
    for (auto const& each : log.executions)
    {
        bool const again = !each.request_id.empty() &&
                           !executed.insert(each.request_id).second;
        if (again)
        {
            found.push_back({"at most once", each.at,
                             each.request_id + " was executed again at " +
                                 each.target.value()});
        }
    }
    return found;
}

violations check_not_run_is_true(run_log const& log)
{
    std::set<std::string> executed;
    std::set<std::pair<incarnation, query_number>> queries;
    for (auto const& each : log.executions)
    {
        if (each.request_id.empty())
        {
            queries.emplace(each.attempt.host, each.attempt.query);
        }
        else
        {
            executed.insert(each.request_id);
        }
    }
    violations found;
    for (auto const& said : log.not_runs)
    {
        if (executed.contains(said.request_id))
        {
            found.push_back({"not run is true", said.at,
                             said.request_id + " was reported as not run"});
        }
    }
    for (auto const& each : log.answers)
    {
        bool const said =
            each.answer.failed && each.answer.state == run_state::not_run;
        if (said && queries.contains({each.life, each.number}))
        {
            found.push_back({"not run is true", each.at,
                             "query " + text_of(each.number.value()) +
                                 " was reported as not run"});
        }
    }
    return found;
}

violations check_cold_targets(run_log const& log)
{
    violations found;
    for (auto const& each : log.executions)
    {
        if (each.cold && each.in_flight > each.cold_limit)
        {
            found.push_back({"cold targets", each.at,
                             each.target.value() + " has " +
                                 text_of(each.in_flight) +
                                 " in flight; its cold-start limit is " +
                                 text_of(each.cold_limit)});
        }
    }
    return found;
}

violations check_closed_targets(run_log const& log)
{
    std::map<target_name, time_point> closed_since;
    auto next = log.closings.begin();
    violations found;
    for (auto const& send : log.sends)
    {
        for (; next != log.closings.end() && next->from <= send.at; ++next)
        {
            closed_since[next->target] = next->closed ? next->from : never;
        }
        auto const closed = closed_since.find(send.target);
        if (closed != closed_since.end() && closed->second != never &&
            send.at >= closed->second + max_drain_delay)
        {
            found.push_back({"closed targets", send.at,
                             send.host.value() + " sent to " +
                                 send.target.value() +
                                 ", which is drained or leaving"});
        }
    }
    return found;
}

violations check_config_never_reverts(run_log const& log)
{
    std::map<std::pair<host_name, config_key>, config_version> held;
    violations found;
    for (auto const& each : log.configs)
    {
        auto& before = held[{each.host, each.key}];
        if (each.version < before)
        {
            found.push_back({"config never reverts", each.at,
                             each.host.value() + " went from version " +
                                 text_of(before.value()) + " to " +
                                 text_of(each.version.value())});
        }
        before = std::max(before, each.version);
    }
    return found;
}

violations check_config_in_force(run_log const& log)
{
    std::map<config_key, config_version> due;
    auto next = log.publishes.begin();
    violations found;
    for (auto const& each : log.configs)
    {
        for (; next != log.publishes.end() &&
               next->at + max_propagation_delay <= each.at;
             ++next)
        {
            due[next->key] = std::max(due[next->key], next->version);
        }
        auto const wanted = due.find(each.key);
        if (wanted != due.end() && each.version < wanted->second)
        {
            found.push_back({"config in force", each.at,
                             each.host.value() + " still has version " +
                                 text_of(each.version.value()) + " of " +
                                 std::string(to_string(each.key))});
        }
    }
    return found;
}

violations check_one_answer(run_log const& log, time_point end)
{
    std::map<std::pair<incarnation, query_number>, std::uint32_t> answers;
    for (auto const& each : log.answers)
    {
        ++answers[{each.life, each.number}];
    }
    std::set<incarnation> const killed(log.killed.begin(), log.killed.end());
    violations found;
    for (auto const& each : log.submits)
    {
        auto const count = answers[{each.life, each.number}];
        bool const excused =
            killed.contains(each.life) || each.at + settle_time > end;
        if (count > 1 || (count == 0 && !excused))
        {
            found.push_back({"one answer", each.at,
                             "request " + text_of(each.number.value()) +
                                 " of " + each.service.value() + " at " +
                                 each.host.value() + " got " + text_of(count) +
                                 " answers"});
        }
    }
    return found;
}

violations check_shutdown(run_log const& log)
{
    std::map<incarnation, shutdown_record> shutdowns;
    for (auto const& each : log.shutdowns)
    {
        shutdowns.emplace(each.life, each);
    }
    std::map<std::pair<incarnation, query_number>, answer_record const*> given;
    for (auto const& each : log.answers)
    {
        given.emplace(std::pair(each.life, each.number), &each);
    }
    violations found;
    for (auto const& each : log.submits)
    {
        auto const shutdown = shutdowns.find(each.life);
        if (shutdown == shutdowns.end())
        {
            continue;
        }
        auto const answer = given.find({each.life, each.number});
        bool const cut =
            answer == given.end() && shutdown->second.finished != never;
        bool const turned_away =
            answer != given.end() && each.fresh_hosts &&
            each.at >= shutdown->second.asked &&
            answer->second->answer.failed &&
            answer->second->answer.failed->kind == error_kind::leaving;
        if (cut || turned_away)
        {
            found.push_back({"graceful shutdown", each.at,
                             each.host.value() +
                                 (cut ? " exited with an unanswered request"
                                      : " turned away a caller with a valid "
                                        "discovery answer")});
        }
    }
    return found;
}

violations check_connections(run_log const& log)
{
    violations found;
    for (auto const& [target, seen] : log.connections)
    {
        if (seen.peak > seen.limit)
        {
            found.push_back({"connections", time_point{},
                             target.value() + " received requests for " +
                                 text_of(seen.peak) +
                                 " connections, above its limit of " +
                                 text_of(seen.limit)});
        }
    }
    return found;
}

violations check_all(run_log const& log, time_point end)
{
    violations all;
    for (auto const& part :
         {check_at_most_once(log), check_not_run_is_true(log),
          check_answers_whole(log), check_cold_targets(log),
          check_closed_targets(log), check_config_never_reverts(log),
          check_config_in_force(log), check_one_answer(log, end),
          check_shutdown(log), check_connections(log)})
    {
        all.insert(all.end(), part.begin(), part.end());
    }
    return all;
}

} // namespace kumquatramp::scenarios
