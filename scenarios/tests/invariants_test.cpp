// Tests that each invariant check reports a log that violates the invariant and
// accepts a matching valid log.
#include <catch2/catch.hpp>
#include <scenarios/invariants.hpp>

using namespace kumquatramp;
using namespace kumquatramp::scenarios;

namespace
{

time_point at(duration since_start)
{
    return time_point{} + since_start;
}

target_name const target{"stock-finder-0-0"};
host_name const host{"osu-1"};
incarnation const life{7};

attempt_id attempt(std::uint64_t query)
{
    return {life, query_number{query}, shard_index{0}, 0};
}

execution_record execution(std::uint64_t query, std::string request_id)
{
    return {at(1s), target, attempt(query), std::move(request_id), false, 1, 1};
}

submit_record submit(std::uint64_t number)
{
    return {at(1s),
            host,
            life,
            query_number{number},
            service_name{"stock-finder"},
            40 + number,
            "",
            true};
}

answer_record answered(std::uint64_t number, request_answer answer)
{
    return {at(2s), life, query_number{number}, std::move(answer)};
}

request_answer refusal(error_kind kind)
{
    request_answer answer;
    answer.failed = error{kind, ""};
    answer.state = run_state::not_run;
    return answer;
}

/// A complete answer with two shards to submit(1).
request_answer whole()
{
    request_answer answer;
    answer.snapshot = {1, 3};
    answer.coverage = 1.0;
    answer.shards = {{shard_index{0}, shard_state::answered, "41|0|1/3"},
                     {shard_index{1}, shard_state::answered, "41|1|1/3"}};
    return answer;
}

run_log log_with(request_answer answer)
{
    run_log log;
    log.maps[service_name{"stock-finder"}] = {{1, 2}};
    log.submits = {submit(1)};
    log.answers = {answered(1, std::move(answer))};
    return log;
}

} // namespace

TEST_CASE("a request executed twice is reported")
{
    run_log log;
    log.executions = {execution(1, "a"), execution(2, "b")};
    REQUIRE(check_at_most_once(log).empty());
    log.executions.push_back(execution(3, "a"));
    REQUIRE(check_at_most_once(log).size() == 1);
}

TEST_CASE("a false 'not run' answer is reported, also for queries")
{
    run_log log;
    log.executions = {execution(1, "a"), execution(2, "")};
    log.not_runs = {{at(0s), "b"}};
    log.answers = {answered(3, refusal(error_kind::overloaded))};
    REQUIRE(check_not_run_is_true(log).empty());
    log.not_runs.push_back({at(0s), "a"});
    REQUIRE(check_not_run_is_true(log).size() == 1);
    log.answers.push_back(answered(2, refusal(error_kind::overloaded)));
    REQUIRE(check_not_run_is_true(log).size() == 2);
}

TEST_CASE("answers with mixed snapshots, foreign parts or wrong coverage are "
          "reported")
{
    REQUIRE(check_answers_whole(log_with(whole())).empty());
    auto broken = whole();
    SECTION("part of another snapshot")
    {
        broken.shards[1].payload = "41|1|1/2";
    }
    SECTION("part of another caller's request")
    {
        broken.shards[1].payload = "42|1|1/3";
    }
    SECTION("part of another shard")
    {
        broken.shards[1].payload = "41|0|1/3";
    }
    SECTION("truncated part")
    {
        broken.shards[1].payload = "41|1";
    }
    SECTION("answered shard not counted in the coverage")
    {
        broken.coverage = 0.5;
    }
    SECTION("missing shard counted in the coverage")
    {
        broken.shards[1] = {shard_index{1}, shard_state::late, ""};
    }
    SECTION("shard missing from the list")
    {
        broken.shards.pop_back();
        broken.coverage = 1.0;
    }
    REQUIRE(check_answers_whole(log_with(broken)).size() == 1);
}

TEST_CASE("a booking answered with another request's result is reported")
{
    request_answer result;
    result.coverage = 1.0;
    result.shards = {{shard_index{0}, shard_state::answered, "41|0|1/1"}};
    auto log = log_with(result);
    log.submits[0].request_id = "a";
    REQUIRE(check_answers_whole(log).empty());
    log.answers[0].answer.shards[0].payload = "4|0|1/1";
    REQUIRE(check_answers_whole(log).size() == 1);
}

TEST_CASE("a cold target above its in-flight limit is reported")
{
    run_log log;
    log.executions = {execution(1, ""), execution(2, "")};
    log.executions[0].in_flight = 4; // warm
    log.executions[1].cold = true;
    REQUIRE(check_cold_targets(log).empty());
    log.executions[1].in_flight = 2;
    REQUIRE(check_cold_targets(log).size() == 1);
}

TEST_CASE("work sent to a closed target after the allowed delay is reported")
{
    run_log log;
    log.closings = {{at(10s), target, true}, {at(30s), target, false}};
    log.sends = {{at(9s), target, host},
                 {at(14900ms), target, host},
                 {at(30s), target, host}};
    REQUIRE(check_closed_targets(log).empty());
    log.sends.insert(log.sends.begin() + 2, {at(15s), target, host});
    REQUIRE(check_closed_targets(log).size() == 1);
}

TEST_CASE("a configuration that reverts or is late is reported")
{
    auto const sample = [](duration when, std::uint64_t version)
    {
        return config_record{at(when), host, config_key::rules,
                             config_version{version}};
    };
    run_log log;
    log.publishes = {{at(10s), config_key::rules, config_version{2}}};
    log.configs = {sample(9s, 1), sample(16900ms, 1), sample(17s, 2)};
    REQUIRE(check_config_never_reverts(log).empty());
    REQUIRE(check_config_in_force(log).empty());
    log.configs.push_back(sample(18s, 1));
    REQUIRE(check_config_never_reverts(log).size() == 1);
    REQUIRE(check_config_in_force(log).size() == 1);
}

TEST_CASE("a request with no answer or two answers is reported")
{
    auto log = log_with(whole());
    REQUIRE(check_one_answer(log, at(60s)).empty());
    log.answers.push_back(answered(1, whole()));
    REQUIRE(check_one_answer(log, at(60s)).size() == 1);
    log.answers.clear();
    REQUIRE(check_one_answer(log, at(60s)).size() == 1);
    REQUIRE(check_one_answer(log, at(5s)).empty());
    log.killed = {life};
    REQUIRE(check_one_answer(log, at(60s)).empty());
}

TEST_CASE("a shutdown that drops or turns away a request is reported")
{
    auto log = log_with(whole());
    log.shutdowns = {{host, life, at(500ms), at(20s)}};
    REQUIRE(check_shutdown(log).empty());
    log.answers[0].answer = refusal(error_kind::leaving);
    REQUIRE(check_shutdown(log).size() == 1);
    log.submits[0].fresh_hosts = false;
    REQUIRE(check_shutdown(log).empty());
    log.answers.clear();
    REQUIRE(check_shutdown(log).size() == 1);
}

TEST_CASE("more connections than the limit are reported")
{
    run_log log;
    log.connections[target] = {80, 80};
    REQUIRE(check_connections(log).empty());
    log.connections[target].peak = 81;
    REQUIRE(check_connections(log).size() == 1);
}
