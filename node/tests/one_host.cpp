// Drives the node; the platform and the targets answer within 1 ms.
#include "one_host.hpp"

namespace kumquatramp
{

namespace
{

constexpr duration step = 1ms;

std::string target_line(std::string const& service, std::string const& name)
{
    return "target " + service + "-" + name + " service " + service +
           " availability_zone osu address 127.0.0.1:9000 slots 4 "
           "connections 80 connect_cost 1ms state live holds 1/0\n";
}

std::string text_of(config_key key)
{
    if (key == config_key::members)
    {
        return "member osu-1 availability_zone osu callers 127.0.0.1:8001 "
               "peers 127.0.0.1:8101 state live\n";
    }
    if (key == config_key::rules)
    {
        return "deadline find 500ms # test\n";
    }
    std::string text = "service find run idempotent shards 1 map 1\n"
                       "service book run once shards 1 map 1\n";
    for (auto const* const name : {"a", "b", "c"})
    {
        text += target_line("find", name) + target_line("book", name);
    }
    return text;
}

node_options options()
{
    node_options made;
    made.self = {host_name{"osu-1"}, zone_name{"osu"}, "127.0.0.1:8001",
                 "127.0.0.1:8101", false};
    made.life = incarnation{1};
    made.fleet_key = "key";
    return made;
}

} // namespace

one_host::one_host(reply_function reply)
    : node_(options(), random_)
    , reply_(std::move(reply))
{
    node_.start(now_, actions_);
}

target_reply one_host::answer_to(send_attempt const& send)
{
    target_reply reply;
    reply.id = send.id;
    reply.outcome = attempt_outcome::answered;
    reply.echoed = send.id;
    reply.shard = send.shard;
    reply.snapshot = {1, 7};
    reply.holds = {{1, 7}};
    reply.payload = "{}";
    return reply;
}

void one_host::carry_out(action_list& actions)
{
    action_list next;
    for (auto& entry : actions)
    {
        if (auto const* const read = std::get_if<read_platform>(&entry))
        {
            auto const text = text_of(read->key);
            bool const known = read->held.value() > 0;
            node_.on_platform_value(
                read->key, config_version{1},
                known ? std::nullopt : std::optional<std::string_view>(text),
                now_, now_, next);
        }
        else if (auto const* const send = std::get_if<send_attempt>(&entry))
        {
            auto reply = warming_ ? answer_to(*send) : reply_(*send);
            if (node_.may_send(send->id, now_))
            {
                ++sends[send->target.value()];
            }
            else
            {
                reply = {};
                reply.id = send->id;
                reply.outcome = attempt_outcome::not_sent;
            }
            node_.on_target_reply(std::move(reply), now_ + step / 2, next);
        }
        else if (auto const* const given = std::get_if<answer_caller>(&entry))
        {
            answers_[given->number.value()] = given->answer;
        }
    }
    actions = std::move(next);
}

void one_host::run(duration time)
{
    for (auto const end = now_ + time; now_ < end;)
    {
        now_ += step;
        node_.tick(now_, actions_);
        carry_out(actions_);
    }
}

void one_host::warm_up()
{
    warming_ = true;
    run(10s); // until the steward hold-off has passed
    for (int i = 0; i < 1000; ++i)
    {
        ask(false, step);
        ask(true, step);
    }
    warming_ = false;
    sends.clear();
}

std::optional<request_answer> one_host::ask(bool once, duration wait)
{
    caller_request request;
    request.number = query_number{next_number_++};
    request.service = service_name{once ? "book" : "find"};
    request.caller = caller_name{"test"};
    request.body = std::make_shared<std::string const>("{}");
    if (once)
    {
        auto const text = node_.issue_request_id(now_);
        if (!text)
        {
            return std::nullopt;
        }
        request.once = node_.decode_request_id(text.value()).value();
    }
    auto const number = request.number.value();
    node_.submit(std::move(request), now_, actions_);
    carry_out(actions_);
    run(wait);
    auto const found = answers_.find(number);
    return found == answers_.end() ? std::nullopt
                                   : std::optional(found->second);
}

} // namespace kumquatramp
