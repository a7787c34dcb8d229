// Routes callers' requests to the service and writes the responses.
#include <algorithm>
#include <base/error_answer.hpp>
#include <details/answer_body.hpp>
#include <details/caller_message.hpp>
#include <eventloop/http_message.hpp>
#include <eventloop/http_response.hpp>
#include <eventloop/request_target.hpp>
#include <system_error>
#include <transport/caller_port.hpp>
#include <transport/caller_service.hpp>
#include <transport/error_body.hpp>
#include <transport/json_text.hpp>
#include <utility>

namespace kumquatramp
{

namespace
{

constexpr int http_ok = 200;
constexpr int http_created = 201;
/// How often timeouts are enforced.
constexpr duration sweep_interval = 50ms;

serving::edge_limits edge_limits_of(port_options const& options)
{
    return {.header_bytes = options.limits.max_head_bytes,
            .header_lines = options.limits.max_head_lines,
            .body_bytes = options.max_body_bytes,
            .connections = options.max_connections,
            .header_timeout = options.receive_timeout,
            .message_timeout = options.receive_timeout,
            .write_timeout = options.write_timeout,
            .idle_timeout = options.idle_timeout};
}

/// Returns the single path segment between `before` and `after`; std::nullopt
/// if the path does not match.
std::optional<std::string_view> path_segment(std::string_view path,
                                             std::string_view before,
                                             std::string_view after)
{
    if (path.size() <= before.size() + after.size() ||
        !path.starts_with(before) || !path.ends_with(after))
    {
        return std::nullopt;
    }
    path.remove_prefix(before.size());
    path.remove_suffix(after.size());
    return path.find('/') == std::string_view::npos ? std::optional(path)
                                                    : std::nullopt;
}

} // namespace

caller_port::caller_port(asio::io_context& loop, clock const& time,
                         port_options options, caller_service& service)
    : options_(options)
    , time_(time)
    , service_(service)
    , budget_{.memory = eventloop::memory_ledger(options.request_memory_bytes),
              .sockets = eventloop::socket_budget()}
    , server_(loop, time, *this, &budget_)
    , sweep_timer_(loop)
{
    server_.set_limits(edge_limits_of(options_));
}

caller_port::~caller_port() = default;

result<std::uint16_t> caller_port::start(socket_address const& address)
{
    try
    {
        auto const port =
            server_.listen({asio::ip::make_address(address.ip), address.port});
        schedule_sweep();
        return port;
    }
    catch (std::system_error const& bind_error)
    {
        return failure(error_kind::invalid_configuration,
                       to_string(address) + ": " + bind_error.code().message());
    }
}

void caller_port::stop(std::function<void()> done)
{
    on_stopped_ = std::move(done);
    stop_deadline_ = time_.now() + options_.write_timeout;
    server_.set_closing();
    server_.stop_listening();
}

bool caller_port::is_drained() const
{
    return server_.unfinished_responses() == 0 || time_.now() >= stop_deadline_;
}

void caller_port::schedule_sweep()
{
    sweep_timer_.expires_after(sweep_interval);
    sweep_timer_.async_wait(
        [this](asio::error_code const& cancelled)
        {
            if (cancelled)
            {
                return;
            }
            server_.sweep();
            if (on_stopped_ && is_drained())
            {
                server_.close_all();
                std::exchange(on_stopped_, nullptr)();
                return;
            }
            schedule_sweep();
        });
}

void caller_port::respond(exchange at, int status, std::string body,
                          std::optional<duration> retry_after)
{
    server_.respond(at,
                    eventloop::serialize({.status = status,
                                          .body = std::move(body),
                                          .retry_after = retry_after,
                                          .close = server_.closing()}),
                    false);
}

void caller_port::refuse(exchange at, std::string_view trace,
                         error const& fault)
{
    auto const& row = answer_of(fault.kind);
    respond(at, row.http_status, error_body(trace, fault),
            row.retry_after ? std::optional(refused_retry_after)
                            : std::nullopt);
}

std::string caller_port::rejection(error_kind kind)
{
    auto const& row = answer_of(kind);
    return eventloop::serialize(
        {.status = row.http_status,
         .body = error_body("", {kind, ""}),
         .retry_after = row.retry_after ? std::optional(refused_retry_after)
                                        : std::nullopt,
         .close = true});
}

std::string caller_port::trace_of(message const& request)
{
    auto const given = request.header("Kumquatramp-Trace");
    return is_plain_name(given) ? std::string(given) : service_.new_trace();
}

void caller_port::on_request(exchange at, message& request)
{
    auto const path =
        std::string(eventloop::request_target(request.target).path());
    bool const get = request.method == "GET";
    bool const post = request.method == "POST";
    if (get && path == "/healthz")
    {
        respond(at, http_ok, R"({"status":"ok"})");
    }
    else if (get && path == "/readyz")
    {
        bool const ready = service_.ready();
        respond(at,
                ready ? http_ok : answer_of(error_kind::not_ready).http_status,
                ready ? R"({"status":"ok"})" : R"({"status":"not ready"})");
    }
    else if (get && path == "/v1/hosts")
    {
        answer_hosts(at, request);
    }
    else if (post && path == "/v1/request-ids")
    {
        answer_new_id(at, request);
    }
    else if (auto const id = path_segment(path, "/v1/request-ids/", "");
             id && (get || request.method == "DELETE"))
    {
        answer_outcome(at, request, *id, !get);
    }
    else if (auto const query = path_segment(path, "/v1/services/", "/query");
             query && post)
    {
        answer_request(at, request, *query, false);
    }
    else if (auto const once = path_segment(path, "/v1/services/", "/requests");
             once && post)
    {
        answer_request(at, request, *once, true);
    }
    else
    {
        refuse(at, "", {error_kind::unknown_path, ""});
    }
}

void caller_port::on_client_disconnected(exchange at)
{
    auto const found = running_.find(at);
    if (found != running_.end())
    {
        auto const number = found->second.number;
        running_.erase(found);
        service_.caller_disconnected(number);
    }
}

void caller_port::answer_request(exchange at, message& request,
                                 std::string_view name, bool once)
{
    auto const trace = trace_of(request);
    auto wanted = read_request(request, name);
    if (!wanted)
    {
        refuse(at, trace, wanted.error());
        return;
    }
    std::string text;
    if (once)
    {
        text = request.header("Kumquatramp-Request-Id");
        auto const id = service_.decode_request_id(text);
        if (!id)
        {
            refuse(at, trace, id.error());
            return;
        }
        wanted.value().once = id.value();
    }
    run(at, std::move(wanted.value()), trace, std::move(text));
}

void caller_port::run(exchange at, caller_request wanted,
                      std::string const& trace, std::string request_id)
{
    if (running_.size() >= options_.workers + options_.max_queued)
    {
        refuse(at, trace, {error_kind::overloaded, "requests in progress"});
        return;
    }
    auto const number = service_.run(std::move(wanted), trace,
                                     [this, at, trace](request_answer const& a)
                                     { finish(at, trace, a); });
    running_[at] = {number, std::move(request_id)};
}

void caller_port::finish(exchange at, std::string const& trace,
                         request_answer const& answer)
{
    auto const found = running_.find(at);
    if (found == running_.end())
    {
        return; // the caller has disconnected
    }
    std::string const id = std::move(found->second.request_id);
    running_.erase(found);
    if (answer.failed)
    {
        auto const& row = answer_of(answer.failed->kind);
        respond(at, row.http_status,
                error_body(trace, *answer.failed, answer.state),
                row.retry_after ? std::optional(refused_retry_after)
                                : std::nullopt);
        return;
    }
    if (id.empty())
    {
        respond(at, http_ok, query_body(trace, answer));
        return;
    }
    auto const result = answer.shards.empty() ? std::string_view()
                                              : answer.shards.front().payload;
    respond(at, http_ok, result_body(trace, id, result));
}

void caller_port::answer_outcome(exchange at, message const& request,
                                 std::string_view id, bool cancel)
{
    auto const trace = trace_of(request);
    auto const decoded = service_.decode_request_id(id);
    if (!decoded)
    {
        refuse(at, trace, decoded.error());
        return;
    }
    if (cancel)
    {
        service_.cancel(decoded.value());
    }
    auto const outcome = service_.outcome_of(decoded.value());
    if (!outcome)
    {
        refuse(at, trace, outcome.error());
        return;
    }
    respond(at, http_ok, outcome_body(trace, id, outcome.value()));
}

void caller_port::answer_new_id(exchange at, message const& request)
{
    auto const id = service_.issue_request_id();
    if (!id)
    {
        refuse(at, trace_of(request), id.error());
        return;
    }
    Json::Value body;
    body["request_id"] = id.value();
    body["lifetime_ms"] =
        static_cast<Json::Int64>(service_.request_id_lifetime() / 1ms);
    respond(at, http_created, to_json_text(body));
}

void caller_port::answer_hosts(exchange at, message const& request)
{
    auto const wanted = read_discovery(request);
    if (!wanted)
    {
        refuse(at, trace_of(request), wanted.error());
        return;
    }
    auto const answer = service_.discover(wanted.value());
    if (!answer)
    {
        refuse(at, trace_of(request), answer.error());
        return;
    }
    respond(at, http_ok, hosts_body(answer.value()));
}

} // namespace kumquatramp
