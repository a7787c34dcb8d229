// Simulates a platform and targets that answer within the same call.
#include "single_host.hpp"
#include <algorithm>
#include <utility>

namespace kumquatramp
{

namespace
{

constexpr std::uint32_t replicas = 3;
constexpr snapshot_id only_snapshot{1, 7};
constexpr duration query_interval = 1ms;
constexpr duration service_time = 100us;
constexpr duration warm_up_time = 30s;

std::string address_of(std::uint32_t number)
{
    return "127.0.0.1:" + std::to_string(10'000 + number % 50'000);
}

target_reply reply_to(send_attempt const& send)
{
    target_reply reply;
    reply.id = send.id;
    reply.outcome = attempt_outcome::answered;
    reply.echoed = send.id;
    reply.shard = send.shard;
    reply.snapshot = only_snapshot;
    reply.holds = {only_snapshot};
    reply.payload = R"({"items":[]})";
    return reply;
}

} // namespace

single_host::single_host(std::uint32_t targets, std::uint32_t shards,
                         std::uint32_t hosts)
    : targets_(targets)
    , shards_(shards)
    , hosts_(hosts)
    , body_(std::make_shared<std::string const>("{}"))
{
    node_options options;
    options.self = {host_name{"h0"}, zone_name{"z0"}, "127.0.0.1:8001",
                    "127.0.0.1:8101", false};
    options.life = incarnation{1};
    options.fleet_key = "key";
    node_ = std::make_unique<node>(options, random_);
    catalogue_ = catalogue_text(4);
    members_ = members_text();
    node_->start(now_, actions_);
    carry_out(actions_);
}

std::string single_host::members_text() const
{
    std::string text;
    for (std::uint32_t i = 0; i < hosts_; ++i)
    {
        text += "member h" + std::to_string(i) + " availability_zone z" +
                std::to_string(i % 9) + " callers " + address_of(i) +
                " peers " + address_of(i) + " state live\n";
    }
    return text;
}

std::string single_host::catalogue_text(std::uint32_t slots_of_first) const
{
    std::string text;
    auto const per_service = shards_ * replicas;
    for (std::uint32_t s = 0; s * per_service < targets_; ++s)
    {
        text += "service s" + std::to_string(s) + " run idempotent shards " +
                std::to_string(shards_) + " map 1\n";
    }
    for (std::uint32_t t = 0; t < targets_; ++t)
    {
        auto const slots = t == 0 ? slots_of_first : 4;
        text += "target t" + std::to_string(t) + " service s" +
                std::to_string(t / per_service) + " availability_zone z" +
                std::to_string(t % 9) + " address " + address_of(t) +
                " slots " + std::to_string(slots) +
                " connections 5000 connect_cost 6ms state live holds 1/" +
                std::to_string(t % per_service / replicas) + "\n";
    }
    return text;
}

void single_host::carry_out(action_list& actions)
{
    action_list next;
    for (auto& entry : actions)
    {
        if (auto const* const send = std::get_if<send_attempt>(&entry))
        {
            auto reply = reply_to(*send);
            if (!node_->may_send(send->id, now_))
            {
                reply.outcome = attempt_outcome::not_sent;
            }
            node_->on_target_reply(std::move(reply), now_ + service_time, next);
        }
        else if (auto const* const read = std::get_if<read_platform>(&entry))
        {
            bool const known = read->held.value() >= version_;
            auto const text = read->key == config_key::members ? members_
                              : read->key == config_key::catalogue
                                  ? catalogue_
                                  : std::string{};
            node_->on_platform_value(
                read->key, config_version{version_},
                known ? std::nullopt : std::optional<std::string_view>(text),
                now_, now_, next);
        }
        else if (auto const* const given = std::get_if<answer_caller>(&entry))
        {
            last_coverage_ = given->answer.coverage;
        }
        else if (auto const* const sent = std::get_if<exchange_digest>(&entry))
        {
            // The peer holds the same values and sends no notices.
            peer_digest answer = sent->digest;
            answer.from = sent->peer.name;
            answer.life = incarnation{2};
            answer.heartbeats.clear();
            answer.warmths.clear();
            answer.booted = true;
            answer.view_age = duration::zero();
            node_->on_peer_answer(answer, now_, now_, next);
        }
    }
    actions.clear();
    if (std::any_of(next.begin(), next.end(),
                    [](action const& entry)
                    { return !std::holds_alternative<read_platform>(entry); }))
    {
        carry_out(next);
    }
    actions.insert(actions.end(), next.begin(), next.end());
}

void single_host::warm_up()
{
    auto const end = now_ + warm_up_time;
    while (now_ < end)
    {
        round();
        if (node_->ready(now_))
        {
            query();
        }
    }
}

double single_host::query()
{
    now_ += query_interval;
    last_coverage_ = 0;
    caller_request request;
    request.number = query_number{next_query_++};
    request.service = service_name{"s0"};
    request.caller = caller_name{"bench"};
    request.body = body_;
    node_->submit(std::move(request), now_, actions_);
    carry_out(actions_);
    return last_coverage_;
}

void single_host::change_catalogue()
{
    ++version_;
    catalogue_ = catalogue_text(3 + static_cast<std::uint32_t>(version_ % 2));
    action_list out;
    node_->on_platform_value(config_key::catalogue, config_version{version_},
                             catalogue_, now_, now_, out);
}

void single_host::round()
{
    now_ += 50ms;
    node_->tick(now_, actions_);
    carry_out(actions_);
}

} // namespace kumquatramp
