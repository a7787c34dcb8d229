// Passes events to the node and executes the actions that it returns.
#include <algorithm>
#include <asio/post.hpp>
#include <base/error_answer.hpp>
#include <cstdio>
#include <transport/event_log.hpp>
#include <transport/node_driver.hpp>
#include <utility>
#include <variant>

namespace kumquatramp
{

node_driver::node_driver(node_options options, socket_address const& platform,
                         driver_context context)
    : context_(context)
    , id_lifetime_(options.ledger.unused_lifetime)
    , node_(std::move(options), context.random)
    , armed_deadline_(never.time_since_epoch().count())
    , timer_(context.io)
    , platform_(platform, *this, context.time)
    , peers_(context.key, context.random, *this, context.time)
    , targets_(*this, context.time, context.io)
{
}

node_driver::~node_driver()
{
    stop();
}

// Passes an event to the node, executes the resulting actions and re-arms the
// timer.
template <class Event>
void node_driver::process_event(Event event)
{
    action_list actions;
    event(now(), actions);
    execute_actions(actions);
    arm_timer();
}

void node_driver::start(std::function<void()> on_finished)
{
    on_finished_ = std::move(on_finished);
    process_event([this](time_point now, action_list& out)
                  { node_.start(now, out); });
}

void node_driver::shut_down()
{
    process_event([this](time_point now, action_list&)
                  { node_.shut_down(now); });
}

void node_driver::stop()
{
    platform_.stop();
    peers_.stop();
    targets_.stop();
}

void node_driver::execute_actions(action_list& actions)
{
    for (auto& wanted : actions)
    {
        std::visit([this](auto& action) { execute(action); }, wanted);
    }
}

void node_driver::execute(send_attempt& wanted)
{
    auto const call = waiting_.find(wanted.id.query);
    targets_.send(std::move(wanted), call ? call->trace : std::string());
}

void node_driver::execute(cancel_attempt& wanted)
{
    targets_.cancel(wanted.id);
}

void node_driver::execute(answer_caller& wanted)
{
    auto const call = waiting_.take(wanted.number);
    if (!call)
    {
        return;
    }
    record_answer(*call, wanted.answer);
    asio::post(context_.io, [call, answer = std::move(wanted.answer)]
               { call->done(answer); });
}

void node_driver::execute(exchange_digest& wanted)
{
    peers_.exchange(wanted);
}

void node_driver::execute(fetch_config& wanted)
{
    peers_.fetch(wanted);
}

void node_driver::execute(read_platform& wanted)
{
    platform_.read(wanted);
}

void node_driver::execute(set_connections& wanted)
{
    targets_.set_connections(wanted);
}

void node_driver::execute(ask_grant& wanted)
{
    peers_.request_grant(wanted);
}

void node_driver::execute(report_grant& wanted)
{
    peers_.report(wanted);
}

void node_driver::execute(finish_shutdown& /*wanted*/)
{
    if (!finished_.exchange(true))
    {
        asio::post(context_.io, [this] { on_finished_(); });
    }
}

// Re-arms the timer if the node's next tick is earlier than the armed time.
void node_driver::arm_timer()
{
    auto const due = node_.next_tick(now());
    auto const wanted = due.time_since_epoch().count();
    auto armed = armed_deadline_.load();
    while (wanted < armed)
    {
        if (armed_deadline_.compare_exchange_weak(armed, wanted))
        {
            asio::post(context_.io, [this, due] { set_timer(due); });
            return;
        }
    }
}

void node_driver::set_timer(time_point due)
{
    // A later call may have armed an earlier time in the meantime.
    if (armed_deadline_.load() != due.time_since_epoch().count())
    {
        return;
    }
    timer_.expires_after(std::max<duration>(due - now(), 0ns));
    timer_.async_wait(
        [this](asio::error_code ec)
        {
            if (!ec)
            {
                tick();
            }
        });
}

void node_driver::tick()
{
    armed_deadline_.store(never.time_since_epoch().count());
    process_event([this](time_point now, action_list& out)
                  { node_.tick(now, out); });
}

query_number node_driver::run(caller_request request, std::string trace,
                              answer_handler done)
{
    query_number const number{next_number_++};
    request.number = number;
    waiting_.add(number, std::make_shared<waiting_call const>(
                             waiting_call{.trace = std::move(trace),
                                          .service = request.service,
                                          .caller = request.caller,
                                          .once = request.once,
                                          .started = now(),
                                          .done = std::move(done)}));
    process_event([&](time_point now, action_list& out)
                  { node_.submit(std::move(request), now, out); });
    return number;
}

void node_driver::caller_disconnected(query_number number)
{
    auto const call = waiting_.find(number);
    if (call && !call->once)
    {
        process_event([&](time_point now, action_list& out)
                      { node_.cancel(number, now, out); });
    }
}

void node_driver::record_answer(waiting_call const& call,
                                request_answer const& answer)
{
    duration const elapsed = now() - call.started;
    metrics_.record(call.service, answer, elapsed, now());
    bool const whole = !answer.failed && answer.coverage >= 1.0;
    auto const result = answer.failed ? answer_of(answer.failed->kind).code
                        : whole       ? std::string_view("whole")
                                      : std::string_view("partial");
    context_.log.write(
        whole ? log_level::debug : log_level::info, "request",
        {{"trace", call.trace},
         {"service", call.service.value()},
         {"caller", call.caller.value()},
         {"result", result},
         {"state", answer.failed ? to_string(answer.state) : "ran"},
         {"coverage", answer.coverage},
         {"elapsed_ms",
          std::chrono::duration<double, std::milli>(elapsed).count()},
         {"sends", static_cast<std::int64_t>(answer.sends)},
         {"hedges", static_cast<std::int64_t>(answer.hedges)}});
}

result<std::string> node_driver::issue_request_id()
{
    return node_.issue_request_id(now());
}

result<request_id> node_driver::decode_request_id(std::string_view text)
{
    return node_.decode_request_id(text);
}

result<request_outcome> node_driver::outcome_of(request_id const& id)
{
    return node_.outcome_of(id, now());
}

void node_driver::cancel(request_id const& id)
{
    if (auto const number = waiting_.number_of(id))
    {
        process_event([&](time_point now, action_list& out)
                      { node_.cancel(*number, now, out); });
    }
}

result<discovery_answer> node_driver::discover(discovery_request const& request)
{
    return node_.discover(request, now());
}

bool node_driver::ready()
{
    return node_.ready(now());
}

duration node_driver::request_id_lifetime() const
{
    return id_lifetime_;
}

std::string node_driver::new_trace()
{
    char buffer[17];
    std::snprintf(buffer, sizeof buffer, "%016llx",
                  static_cast<unsigned long long>(context_.random.next()));
    return buffer;
}

bool node_driver::may_send(attempt_id const& id)
{
    return node_.may_send(id, now());
}

void node_driver::on_target_reply(target_reply reply)
{
    if (context_.log.is_enabled(log_level::debug))
    {
        auto const call = waiting_.find(reply.id.query);
        context_.log.write(log_level::debug, "attempt",
                           {{"trace", call ? call->trace : std::string()},
                            {"attempt", to_string(reply.id)},
                            {"outcome", to_string(reply.outcome)}});
    }
    process_event([&](time_point now, action_list& out)
                  { node_.on_target_reply(std::move(reply), now, out); });
}

void node_driver::on_connection_lost(target_name const& target)
{
    context_.log.write(log_level::info, "connection_lost",
                       {{"target", target.value()}});
    node_.on_connection_lost(target, now());
}

void node_driver::on_platform_value(config_key key, config_version version,
                                    std::optional<std::string_view> text,
                                    time_point asked)
{
    process_event(
        [&](time_point now, action_list& out)
        { node_.on_platform_value(key, version, text, asked, now, out); });
}

void node_driver::on_platform_failed(config_key key)
{
    context_.log.write(log_level::warning, "platform_read_failed",
                       {{"key", to_string(key)}});
    process_event([&](time_point now, action_list& out)
                  { node_.on_platform_failed(key, now, out); });
}

peer_digest node_driver::on_peer_digest(peer_digest const& digest)
{
    peer_digest answer;
    process_event([&](time_point now, action_list& out)
                  { answer = node_.on_peer_digest(digest, now, out); });
    return answer;
}

config_update node_driver::on_fetch(config_key key, config_stamp held)
{
    return node_.on_fetch(key, held);
}

grant_answer node_driver::on_grant_request(target_name const& target)
{
    return node_.on_grant_request(target, now());
}

void node_driver::on_grant_report(grant_report const& report)
{
    node_.on_grant_report(report, now());
}

void node_driver::on_grant_answer(member_entry const& peer,
                                  target_name const& target,
                                  grant_answer const& answer, time_point asked)
{
    process_event(
        [&](time_point now, action_list& out)
        { node_.on_grant_answer(peer, target, answer, asked, now, out); });
}

void node_driver::on_peer_answer(peer_digest const& digest, time_point asked)
{
    process_event([&](time_point now, action_list& out)
                  { node_.on_peer_answer(digest, asked, now, out); });
}

void node_driver::on_config_update(host_name const& peer,
                                   config_update const& update)
{
    process_event([&](time_point now, action_list& out)
                  { node_.on_config_update(peer, update, now, out); });
}

void node_driver::on_peer_failed(host_name const& peer)
{
    context_.log.write(log_level::debug, "peer_failed",
                       {{"peer", peer.value()}});
    process_event([&](time_point now, action_list& out)
                  { node_.on_peer_failed(peer, now, out); });
}

} // namespace kumquatramp
