// Passes requests, attempts and answers between the event loop and the engine.
#include "front_exchange.hpp"
#include "parse_number.hpp"
#include <algorithm>
#include <asio/post.hpp>
#include <base/error_answer.hpp>
#include <eventloop/http_message.hpp>
#include <eventloop/outgoing_request.hpp>
#include <eventloop/process_budget.hpp>
#include <fmt/format.h>
#include <host/front_service.hpp>
#include <host/host_log.hpp>
#include <serving/request_summary.hpp>
#include <serving/target.hpp>
#include <serving/target_table.hpp>

namespace kumquatramp::host
{

namespace
{

using eventloop::header_names_equal;
using eventloop::http_message;

/// Mean Retry-After of a request that is refused for lack of memory: by then
/// the slowest clients have been given up.
constexpr duration memory_pause = 500ms;

/// Charged for each request in progress, beside its head and body.
constexpr std::size_t request_bytes = 2048;
/// The event loop was held up if sweeps are further apart than this, more than
/// twice their interval.
constexpr duration max_sweep_gap = 250ms;
/// Time in which requests that arrived while the loop was held up are read.
constexpr duration client_check_time = 500ms;
/// Larger bodies leave memory to other requests.
constexpr std::size_t small_body_bytes = 16384;

} // namespace

front_service::front_service(asio::io_context& loop, clock const& time,
                             wire_profile const& wire,
                             serving::serving_options options,
                             random_source& random,
                             serving::target_table& targets,
                             serving::fleet_size const& fleet,
                             serving::warmup_share& warmup, host_log& log,
                             eventloop::process_budget& budget)
    : time_(time)
    , wire_(wire)
    , log_(log)
    , random_(random)
    , targets_(targets)
    , memory_(budget.memory)
    , engine_charge_(budget.memory)
    , server_(loop, time, *this, &budget)
    , pool_(loop, time, *this, &budget)
    , engine_(options, random, targets, fleet, warmup, *this)
    , timer_(loop)
{
}

front_service::~front_service() = default;

void front_service::after_engine_call()
{
    engine_charge_.resize(engine_.held_bytes());
    time_point const due = engine_.next_due();
    if (due >= armed_for_)
    {
        return;
    }
    armed_for_ = due;
    timer_.expires_after(std::max<duration>(due - time_.now(), 0ns));
    timer_.async_wait(
        [this](asio::error_code const& cancelled)
        {
            if (cancelled)
            {
                return;
            }
            armed_for_ = never;
            engine_.tick(time_.now());
            after_engine_call();
        });
}

void front_service::end_by(time_point end)
{
    engine_.end_by(end);
    after_engine_call();
}

bool front_service::may_have_left(time_point now) const
{
    return last_sweep_ != time_point{} &&
           (now - last_sweep_ >= max_sweep_gap || now < check_clients_until_);
}

void front_service::sweep()
{
    time_point const now = time_.now();
    if (last_sweep_ != time_point{} && now - last_sweep_ >= max_sweep_gap)
    {
        check_clients_until_ = now + client_check_time;
    }
    last_sweep_ = now;
    server_.sweep();
    pool_.sweep();
}

duration front_service::memory_retry_after()
{
    // Jitter, so that refused clients do not all return at once.
    return std::chrono::duration_cast<duration>(memory_pause *
                                                (0.75 + 0.5 * random_.unit()));
}

bool front_service::account(exchange_state& exchange)
{
    using eventloop::memory_use;
    std::size_t const body = exchange.body->bytes.capacity();
    return exchange.charge.try_resize(request_bytes + exchange.head.capacity(),
                                      memory_use::small) &&
           exchange.body->charge.try_resize(body, body > small_body_bytes
                                                      ? memory_use::large
                                                      : memory_use::small);
}

void front_service::refuse_unsubmitted(eventloop::exchange_id exchange,
                                       std::string const& id, error_kind kind,
                                       std::optional<duration> retry_after)
{
    counters_.count_error(kind);
    serving::request_summary summary;
    summary.outcome = answer_of(kind).code;
    log_.request(id, summary);
    server_.respond(exchange, serialize_error(kind, retry_after, true), true);
}

void front_service::on_request(eventloop::exchange_id exchange,
                               http_message& message)
{
    ++counters_.requests;
    auto state = std::make_unique<exchange_state>(memory_);
    state->id = message.header(wire_.request_id);
    state->method = message.method;
    state->client_keep_alive = message.keep_alive;
    state->arrived_at = time_.now();
    std::string_view const host = message.header("Host");
    if (may_have_left(state->arrived_at) && server_.client_has_left(exchange))
    {
        // The connection reports the disconnection in a later turn.
        serving::request_summary summary;
        summary.outcome = "client_left";
        log_.request(state->id, summary);
        return;
    }
    if (refusing_requests_)
    {
        refuse_unsubmitted(exchange, state->id, error_kind::leaving, 100ms);
        return;
    }
    if (state->id.empty() || host.empty())
    {
        refuse_unsubmitted(exchange, state->id, error_kind::malformed_request,
                           std::nullopt);
        return;
    }
    fmt::format_to(std::back_inserter(state->head), "{} {} HTTP/1.1\r\n",
                   state->method, message.target);
    std::string_view const connection = message.header("Connection");
    for (auto const& line : message.headers)
    {
        if (eventloop::is_hop_by_hop(line.name, connection) ||
            header_names_equal(line.name, wire_.time_left_ms) ||
            header_names_equal(line.name, wire_.expected_instance))
        {
            continue;
        }
        state->head.append(line.name).append(": ").append(line.value);
        state->head.append("\r\n");
    }
    std::string& body = state->body->bytes;
    body = std::move(message.body);
    if (!body.empty() || (state->method != "GET" && state->method != "HEAD"))
    {
        fmt::format_to(std::back_inserter(state->head),
                       "Content-Length: {}\r\n", body.size());
    }
    if (!account(*state))
    {
        refuse_unsubmitted(exchange, state->id, error_kind::overloaded,
                           memory_retry_after());
        return;
    }
    auto const left =
        parse_number<std::int64_t>(message.header(wire_.time_left_ms));
    serving::client_request const request{
        .handle = exchange,
        .host = host,
        .path = message.target,
        .time_left = std::chrono::milliseconds(left.value_or(0))};
    time_point const now = state->arrived_at;
    exchanges_.emplace(exchange, std::move(state));
    engine_.submit(request, now);
    after_engine_call();
}

void front_service::on_client_disconnected(eventloop::exchange_id exchange)
{
    ++counters_.client_disconnects;
    engine_.client_gone(exchange, time_.now());
    after_engine_call();
}

std::string front_service::rejection(error_kind kind)
{
    counters_.count_error(kind);
    log_.note("client.rejected", answer_of(kind).code, answer_of(kind).text);
    return serialize_error(kind,
                           answer_of(kind).retry_after
                               ? std::optional<duration>(memory_retry_after())
                               : std::nullopt,
                           true);
}

void front_service::start_attempt(serving::attempt_order const& order)
{
    auto const exchange = exchanges_.find(order.request);
    if (exchange == exchanges_.end())
    {
        return;
    }
    ++counters_.sends;
    sends_.emplace(order.attempt, send_state{.request = order.request,
                                             .request_id = exchange->second->id,
                                             .instance = order.to->record.id,
                                             .deadline = order.deadline,
                                             .sent_at = time_.now()});
    pool_.start(order, response_has_no_body(exchange->second->method));
}

void front_service::abandon_attempt(serving::attempt_handle attempt)
{
    pool_.abandon(attempt);
}

eventloop::outgoing_request
front_service::serialize_request(serving::attempt_handle attempt)
{
    time_point const now = time_.now();
    auto const send = sends_.find(attempt);
    if (send == sends_.end() || !engine_.may_send(attempt, now))
    {
        return {};
    }
    auto const exchange = exchanges_.find(send->second.request);
    if (exchange == exchanges_.end())
    {
        return {};
    }
    auto const left = std::max<std::int64_t>(
        1, std::chrono::duration_cast<std::chrono::milliseconds>(
               send->second.deadline - now)
               .count());
    exchange_state const& e = *exchange->second;
    eventloop::outgoing_request request;
    request.head.reserve(e.head.size() + 128);
    request.head += e.head;
    fmt::format_to(std::back_inserter(request.head), "{}: {}\r\n{}: {}\r\n\r\n",
                   wire_.time_left_ms, left, wire_.expected_instance,
                   send->second.instance);
    if (!e.body->bytes.empty())
    {
        request.body = {e.body, &e.body->bytes};
    }
    return request;
}

bool front_service::matches_request(serving::attempt_handle attempt,
                                    http_message const& answer)
{
    auto const send = sends_.find(attempt);
    return send != sends_.end() &&
           answer.header(wire_.request_id) == send->second.request_id;
}

void front_service::on_end(serving::attempt_handle attempt,
                           eventloop::send_outcome outcome,
                           http_message* answer, char const* cause,
                           serving::connection_id connection)
{
    auto const send = sends_.find(attempt);
    if (send == sends_.end())
    {
        return;
    }
    time_point const now = time_.now();
    counters_.send_latency.add(now - send->second.sent_at);
    sends_.erase(send);
    serving::target_reply reply = parse_reply(outcome, answer, cause);
    reply.connection = connection;
    counters_.sends_broken += reply.kind == serving::reply_kind::broken ? 1 : 0;
    counters_.sends_refused +=
        reply.kind == serving::reply_kind::not_executed ? 1 : 0;
    current_answer_ = answer;
    current_reply_ = &reply;
    engine_.on_reply(attempt, reply, now);
    current_answer_ = nullptr;
    current_reply_ = nullptr;
    after_engine_call();
}

void front_service::on_connected(serving::target const& to)
{
    targets_.mark_reachable(to, time_.now());
}

void front_service::on_connect_failed(serving::target const& to)
{
    targets_.mark_unreachable(to, time_.now());
}

void front_service::answer(serving::request_handle request,
                           serving::client_answer answer)
{
    using form = serving::client_answer::form;
    auto const exchange = exchanges_.find(request);
    if (exchange == exchanges_.end())
    {
        return;
    }
    counters_.request_latency[static_cast<std::size_t>(answer.type)].add(
        time_.now() - exchange->second->arrived_at);
    std::string bytes;
    switch (answer.what)
    {
    case form::relayed:
        ++counters_.relayed;
        bytes = serialize_relayed(*exchange->second);
        break;
    case form::merged:
        ++(answer.missing_parts > 0 ? counters_.merged_partial
                                    : counters_.merged_complete);
        bytes = serialize_merged(answer);
        break;
    case form::error:
        counters_.count_error(answer.error);
        bytes = serialize_error(answer.error, answer.retry_after, false);
        break;
    }
    server_.respond(request, std::move(bytes), false);
}

void front_service::log_request(serving::request_handle request,
                                serving::request_summary const& summary)
{
    auto const exchange = exchanges_.find(request);
    if (exchange != exchanges_.end())
    {
        log_.request(exchange->second->id, summary);
    }
}

void front_service::release_request(serving::request_handle request)
{
    exchanges_.erase(request);
}

} // namespace kumquatramp::host
