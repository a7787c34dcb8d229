// Example: drives a node by hand, passing in events and time and carrying out
// the returned actions.
// docs/INTERFACE.md explains each step.
#include <base/seeded_random.hpp>
#include <iostream>
#include <node/node.hpp>

using namespace kumquatramp;

namespace
{

constexpr auto members = "member osu-1 availability_zone osu callers "
                         "127.0.0.1:8001 peers 127.0.0.1:8101 state live\n";
constexpr auto catalogue_text =
    "service stock-finder run idempotent shards 2 map 1\n"
    "target sf-0 service stock-finder availability_zone osu address "
    "127.0.0.1:9000 slots 4 connections 80 connect_cost 6ms state live "
    "holds 1/0\n"
    "target sf-1 service stock-finder availability_zone osu address "
    "127.0.0.1:9001 slots 4 connections 80 connect_cost 6ms state live "
    "holds 1/1\n";
constexpr auto rules_text =
    "deadline stock-finder 150ms # Ama Owusu: planners hang up\n";

// Simulates the platform: answers every read with version 1.
void play_platform(node& n, action_list const& actions, time_point now,
                   action_list& out)
{
    for (auto const& entry : actions)
    {
        auto const* const read = std::get_if<read_platform>(&entry);
        if (read == nullptr)
        {
            continue;
        }
        bool const known = read->held.value() > 0;
        auto const* const text = read->key == config_key::rules ? rules_text
                                 : read->key == config_key::members
                                     ? members
                                     : catalogue_text;
        n.on_platform_value(read->key, config_version{1},
                            known ? std::nullopt
                                  : std::optional<std::string_view>(text),
                            now, now, out);
    }
}

// Simulates the targets: each answers immediately with one item.
void play_targets(node& n, action_list const& actions, time_point now,
                  action_list& out)
{
    for (auto const& entry : actions)
    {
        auto const* const send = std::get_if<send_attempt>(&entry);
        if (send == nullptr)
        {
            continue;
        }
        target_reply reply;
        reply.id = send->id;
        reply.outcome = attempt_outcome::not_sent;
        if (n.may_send(send->id, now))
        {
            reply.outcome = attempt_outcome::answered;
            reply.echoed = send->id;
            reply.shard = send->shard;
            reply.snapshot = {1, 7};
            reply.holds = {{1, 7}};
            reply.payload = R"({"items":["cloth"]})";
        }
        n.on_target_reply(std::move(reply), now, out);
    }
}

int show_answers(action_list const& actions)
{
    int shown = 0;
    for (auto const& entry : actions)
    {
        if (auto const* const given = std::get_if<answer_caller>(&entry))
        {
            auto const& answer = given->answer;
            std::cout << "answer: coverage " << answer.coverage << ", snapshot "
                      << answer.snapshot.map << '/' << answer.snapshot.index
                      << (answer.failed ? ", failed\n" : "\n");
            shown += answer.failed ? 0 : 1;
        }
    }
    return shown;
}

} // namespace

int main()
{
    node_options options;
    options.self = {host_name{"osu-1"}, zone_name{"osu"}, "127.0.0.1:8001",
                    "127.0.0.1:8101", false};
    options.life = incarnation{1};
    options.fleet_key = "a key";
    seeded_random random{1};
    node n{options, random};

    time_point now{};
    action_list actions;
    n.start(now, actions);
    int answers = 0;
    constexpr auto start_of_service = time_point{} + 10s;
    constexpr auto end = time_point{} + 11s;
    bool asked = false;
    while (now < end)
    {
        action_list next;
        answers += show_answers(actions);
        play_platform(n, actions, now, next);
        play_targets(n, actions, now, next);
        now = std::min(std::max(n.next_tick(now), now + 1ms), now + 50ms);
        n.tick(now, next);
        if (!asked && now >= start_of_service && n.ready(now))
        {
            asked = true;
            caller_request request;
            request.number = query_number{1};
            request.service = service_name{"stock-finder"};
            request.caller = caller_name{"planner"};
            request.body = std::make_shared<std::string const>("{}");
            n.submit(std::move(request), now, next);
        }
        actions = std::move(next);
    }
    return answers == 1 ? 0 : 1;
}
