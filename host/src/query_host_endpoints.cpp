// Answers for readiness, the directory, status and metrics.
#include "query_host_details.hpp"
#include <fmt/format.h>

namespace kumquatramp::host
{

namespace
{

/// Longest lifetime of a directory answer: short enough that clients stop using
/// a host that is shutting down before it exits.
constexpr duration directory_lifetime = 2s;

} // namespace

endpoint_answer query_host::details::answer_readiness(std::string_view method,
                                                      std::string_view target)
{
    if (!adapter_.is_readiness_request(method, target))
    {
        return {};
    }
    return {.status = ready() ? 200 : 503, .body = "{}"};
}

endpoint_answer query_host::details::answer_directory(std::string_view method,
                                                      std::string_view target)
{
    auto const zone = adapter_.parse_directory_request(method, target);
    if (!zone)
    {
        return {};
    }
    auto const port = settings_.clients.substr(settings_.clients.rfind(':'));
    std::vector<std::string> addresses;
    for (auto const& ip : fleet_.directory(*zone))
    {
        addresses.push_back(ip + port);
    }
    if (addresses.empty())
    {
        return {.status = 503, .body = R"({"error":"no host is ready"})"};
    }
    auto const lifetime = std::chrono::duration_cast<std::chrono::seconds>(
        std::min<duration>(settings_.directory_ttl, directory_lifetime));
    return {.status = 200,
            .body = adapter_.format_directory_response(
                addresses, static_cast<int>(lifetime.count()))};
}

endpoint_answer query_host::details::answer_control(std::string_view method,
                                                    std::string_view target)
{
    if (method == "GET" && target == "/metrics")
    {
        return {200, "text/plain; version=0.0.4", metrics()};
    }
    if (method == "GET" && target == "/status")
    {
        time_point const now = time_.now();
        auto const* catalogue = front_.engine().catalogue();
        auto const store_era = follower_.position().era;
        return {.status = 200,
                .body = fmt::format(
                    R"({{"host":"{}","zone":"{}","ready":{},"leaving":{},)"
                    R"("configuration_version":{},"live_hosts":{},)"
                    R"("configuration_refused":{},"store_era":{},)"
                    R"("store_revision":{},)"
                    R"("targets_usable":{},"store_contact_age_ms":{}}})",
                    settings_.name, settings_.zone, ready(),
                    leaving_since_.has_value(),
                    catalogue == nullptr ? 0 : catalogue->version(),
                    fleet_.live_hosts(), configuration_refused_,
                    store_era ? std::to_string(*store_era) : "null",
                    follower_.position().revision, targets_.usable_count(),
                    (now - follower_.last_contact()) / 1ms)};
    }
    return {};
}

void query_host::details::print_engine_metrics(std::string& text,
                                               time_point now)
{
    auto const& engine_counters = front_.engine().counters();
    auto const count = [&](std::string_view name, std::uint64_t value)
    { print_metric(text, name, static_cast<double>(value)); };
    count("far_sends_total", engine_counters.far_sends);
    count("hedges_total", engine_counters.hedges);
    count("retries_total", engine_counters.retries);
    count("hedges_denied_total", engine_counters.hedges_denied);
    count("retries_denied_total", engine_counters.retries_denied);
    count("shards_spared_total", engine_counters.shards_skipped);
    if (auto const left = front_.engine().least_budget_left(now))
    {
        print_metric(text, "retry_budget_left_sends", *left);
    }
    auto const states = targets_.states(now);
    auto const in_state = [&](std::string_view state, int targets) {
        print_metric(text, "targets", targets,
                     fmt::format("state=\"{}\"", state));
    };
    in_state("misdirected", states.misdirected);
    in_state("draining", states.draining);
    in_state("unlisted", states.unlisted);
    in_state("evacuated", states.evacuated);
    in_state("resting", states.resting);
    in_state("failing", states.failing);
    in_state("cold", states.cold);
    in_state("limited", states.limited);
    in_state("full", states.full);
    in_state("ready", states.ready);
}

std::string query_host::details::metrics()
{
    time_point const now = time_.now();
    std::string text;
    front_.counters().print(text);
    auto const pool = front_.pool().stats();
    auto const* catalogue = front_.engine().catalogue();
    print_metric(text, "requests_in_progress",
                 static_cast<double>(front_.engine().in_progress()));
    print_metric(text, "client_connections",
                 static_cast<double>(front_.server().connections()));
    print_metric(text, "client_accept_failures_total",
                 static_cast<double>(front_.server().accept_failures()));
    print_metric(text, "client_connections_refused_total",
                 static_cast<double>(front_.server().refused_connections()));
    print_metric(text, "client_connections_closed_for_room_total",
                 static_cast<double>(front_.server().closed_for_room()));
    print_metric(text, "requests_refused_for_memory_total",
                 static_cast<double>(front_.server().memory_refusals()));
    print_metric(text, "request_memory_bytes",
                 static_cast<double>(budget_.memory.used()));
    print_metric(text, "request_memory_limit_bytes",
                 static_cast<double>(budget_.memory.capacity()));
    print_metric(text, "sockets_open",
                 static_cast<double>(budget_.sockets.open()));
    print_metric(text, "target_connections", static_cast<double>(pool.open));
    print_metric(text, "target_connections_idle",
                 static_cast<double>(pool.idle));
    print_metric(text, "target_connections_opened_total",
                 static_cast<double>(pool.opened));
    print_engine_metrics(text, now);
    print_metric(text, "targets_usable",
                 static_cast<double>(targets_.usable_count()));
    print_metric(text, "live_hosts", fleet_.live_hosts());
    print_metric(
        text, "configuration_version",
        catalogue == nullptr ? 0.0 : static_cast<double>(catalogue->version()));
    print_metric(text, "configuration_unusable_routes",
                 catalogue == nullptr ? 0 : catalogue->unusable_routes());
    print_metric(text, "configuration_refused", configuration_refused_ ? 1 : 0);
    print_metric(text, "configurations_refused_total",
                 static_cast<double>(refused_configurations_));
    if (auto const era = follower_.position().era)
    {
        print_metric(text, "store_era", static_cast<double>(*era));
    }
    print_metric(text, "store_revision",
                 static_cast<double>(follower_.position().revision));
    print_metric(text, "store_histories_replaced_total",
                 static_cast<double>(follower_.replaced_histories()));
    store_.listing_latency().print(text, "store_listing_seconds");
    print_metric(text, "store_calls_total",
                 static_cast<double>(follower_.calls()));
    print_metric(text, "store_cut_watches_total",
                 static_cast<double>(follower_.cuts()));
    print_metric(
        text, "store_contact_age_seconds",
        std::chrono::duration<double>(now - follower_.last_contact()).count());
    print_metric(text, "log_lines_dropped_total",
                 static_cast<double>(log_.dropped()));
    return text;
}

} // namespace kumquatramp::host
