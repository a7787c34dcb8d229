// Counters and quantiles in the Prometheus text format.
#include <array>
#include <base/error_answer.hpp>
#include <cstdio>
#include <details/latency_accumulator.hpp>
#include <transport/request_metrics.hpp>
#include <utility>

namespace kumquatramp
{

namespace
{

std::string format_number(double value)
{
    char buffer[32];
    std::snprintf(buffer, sizeof buffer, "%.9g", value);
    return buffer;
}

std::string metric_header(char const* name, char const* type, char const* help)
{
    return std::string("# HELP ") + name + " " + help + "\n# TYPE " + name +
           " " + type + "\n";
}

std::string sample_line(char const* name, std::string const& labels,
                        double value)
{
    return std::string(name) + "{" + labels + "} " + format_number(value) +
           "\n";
}

} // namespace

struct request_metrics::service_counts
{
    std::mutex mutex;
    // The members below are guarded by mutex.
    std::map<std::string, std::uint64_t> by_result;
    latency_accumulator latency;
    double latency_sum = 0;
    std::uint64_t answers = 0;
    std::uint64_t sends = 0;
    std::uint64_t hedges = 0;
    std::uint64_t shards_answered = 0;
    std::uint64_t shards_asked = 0;
};

request_metrics::request_metrics() = default;
request_metrics::~request_metrics() = default;

std::shared_ptr<request_metrics::service_counts>
request_metrics::counts_of(service_name const& service)
{
    std::lock_guard const guard(mutex_);
    auto& counts = services_[service];
    if (!counts)
    {
        counts = std::make_shared<service_counts>();
    }
    return counts;
}

void request_metrics::record(service_name const& service,
                             request_answer const& answer, duration elapsed,
                             time_point now)
{
    bool const unknown =
        answer.failed && answer.failed->kind == error_kind::unknown_service;
    auto const counts = counts_of(unknown ? service_name{"unknown"} : service);
    bool const whole = !answer.failed && answer.coverage >= 1.0;
    std::string const result =
        answer.failed ? std::string(answer_of(answer.failed->kind).code)
        : whole       ? "whole"
                      : "partial";
    std::lock_guard const guard(counts->mutex);
    ++counts->by_result[result];
    ++counts->answers;
    counts->latency.record(elapsed, now);
    counts->latency_sum += std::chrono::duration<double>(elapsed).count();
    counts->sends += answer.sends;
    counts->hedges += answer.hedges;
    counts->shards_asked += answer.shards.size();
    for (auto const& shard : answer.shards)
    {
        counts->shards_answered += shard.state == shard_state::answered ? 1 : 0;
    }
}

std::string request_metrics::text(time_point now) const
{
    std::map<service_name, std::shared_ptr<service_counts>> services;
    {
        std::lock_guard const guard(mutex_);
        services = services_;
    }
    auto results = metric_header("kumquatramp_requests_total", "counter",
                                 "Callers' requests by result.");
    auto latencies =
        metric_header("kumquatramp_request_seconds", "summary",
                      "Time to the answer; quantiles of 30 to 60 s.");
    auto sends = metric_header("kumquatramp_sends_total", "counter",
                               "Sub-requests sent to targets.");
    auto hedges = metric_header("kumquatramp_hedges_total", "counter",
                                "Sub-requests sent as hedges.");
    auto answered = metric_header("kumquatramp_shards_answered_total",
                                  "counter", "Shards that answers covered.");
    auto asked = metric_header("kumquatramp_shards_asked_total", "counter",
                               "Shards that answers should have covered.");
    for (auto const& [name, counts] : services)
    {
        auto const label = "service=\"" + name.value() + "\"";
        std::lock_guard const guard(counts->mutex);
        for (auto const& [result, count] : counts->by_result)
        {
            auto labels = label;
            labels.append(",result=\"").append(result).append("\"");
            results += sample_line("kumquatramp_requests_total", labels,
                                   static_cast<double>(count));
        }
        if (auto const median = counts->latency.median_seconds(now))
        {
            latencies += sample_line("kumquatramp_request_seconds",
                                     label + ",quantile=\"0.5\"", *median);
        }
        for (auto const* const p : {"0.99", "0.999"})
        {
            if (auto const tail =
                    counts->latency.tail_seconds(std::stod(p), now))
            {
                latencies +=
                    sample_line("kumquatramp_request_seconds",
                                label + ",quantile=\"" + p + "\"", *tail);
            }
        }
        latencies += sample_line("kumquatramp_request_seconds_sum", label,
                                 counts->latency_sum);
        latencies += sample_line("kumquatramp_request_seconds_count", label,
                                 static_cast<double>(counts->answers));
        sends += sample_line("kumquatramp_sends_total", label,
                             static_cast<double>(counts->sends));
        hedges += sample_line("kumquatramp_hedges_total", label,
                              static_cast<double>(counts->hedges));
        answered += sample_line("kumquatramp_shards_answered_total", label,
                                static_cast<double>(counts->shards_answered));
        asked += sample_line("kumquatramp_shards_asked_total", label,
                             static_cast<double>(counts->shards_asked));
    }
    return results + latencies + sends + hedges + answered + asked;
}

} // namespace kumquatramp
