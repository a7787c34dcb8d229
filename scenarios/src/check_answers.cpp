// Invariant on answers: one snapshot, the stated coverage, and parts that
// belong to the caller's request.
#include <cmath>
#include <map>
#include <scenarios/invariants.hpp>

namespace kumquatramp::scenarios
{

namespace
{

constexpr double coverage_tolerance = 1e-9;

/// The payload that fake_target computes for a sub-request.
std::string expected_payload(submit_record const& asked, shard_index shard,
                             snapshot_id snapshot)
{
    return std::to_string(asked.key) + "|" + std::to_string(shard.value()) +
           "|" + std::to_string(snapshot.map) + "/" +
           std::to_string(snapshot.index);
}

std::string fault_in_query(run_log const& log, submit_record const& asked,
                           request_answer const& answer)
{
    auto const maps = log.maps.find(asked.service);
    auto const map = maps->second.find(answer.snapshot.map);
    if (map == maps->second.end() || map->second != answer.shards.size())
    {
        return "does not list all shards of its map";
    }
    std::uint32_t answered = 0;
    for (std::uint32_t i = 0; i < answer.shards.size(); ++i)
    {
        auto const& part = answer.shards[i];
        if (part.shard != shard_index{i})
        {
            return "lists its shards out of order";
        }
        if (part.state != shard_state::answered)
        {
            continue;
        }
        ++answered;
        if (part.payload !=
            expected_payload(asked, part.shard, answer.snapshot))
        {
            return "has payload '" + part.payload + "' for shard " +
                   std::to_string(i);
        }
    }
    auto const share =
        static_cast<double>(answered) / static_cast<double>(map->second);
    if (std::abs(share - answer.coverage) > coverage_tolerance)
    {
        return "states a coverage that does not match its shards";
    }
    return {};
}

std::string fault_in_request(submit_record const& asked,
                             request_answer const& answer)
{
    bool const own =
        answer.shards.size() == 1 && answer.shards.front().payload.starts_with(
                                         std::to_string(asked.key) + "|");
    return own ? std::string{} : "carries the result of another request";
}

} // namespace

violations check_answers_whole(run_log const& log)
{
    std::map<std::pair<incarnation, query_number>, submit_record const*> asked;
    for (auto const& each : log.submits)
    {
        asked.emplace(std::pair(each.life, each.number), &each);
    }
    violations found;
    for (auto const& each : log.answers)
    {
        auto const request = asked.find({each.life, each.number});
        if (request == asked.end())
        {
            found.push_back(
                {"whole answers", each.at, "answer to an unknown request"});
            continue;
        }
        auto const& submit = *request->second;
        if (each.answer.failed && each.answer.shards.empty())
        {
            continue;
        }
        auto const fault = submit.request_id.empty()
                               ? fault_in_query(log, submit, each.answer)
                               : fault_in_request(submit, each.answer);
        if (!fault.empty())
        {
            found.push_back({"whole answers", each.at,
                             "the answer to request " +
                                 std::to_string(each.number.value()) + " of " +
                                 submit.host.value() + " " + fault});
        }
    }
    return found;
}

} // namespace kumquatramp::scenarios
