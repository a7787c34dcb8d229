// The text format of the metrics.
#include <base/milliseconds.hpp>
#include <fmt/format.h>
#include <host/service_counters.hpp>
#include <iterator>

namespace kumquatramp::host
{

void print_metric(std::string& text, std::string_view name, double value)
{
    fmt::format_to(std::back_inserter(text), "kumquatramp_{} {}\n", name,
                   value);
}

void latency_histogram::add(duration latency)
{
    double const ms = to_ms(latency);
    std::size_t bucket = 0;
    while (bucket < bounds_ms.size() && ms > bounds_ms[bucket])
    {
        ++bucket;
    }
    ++counts_[bucket];
    sum_s_ += ms / 1000.0;
}

void latency_histogram::print(std::string& text, std::string_view name) const
{
    std::uint64_t total = 0;
    auto out = std::back_inserter(text);
    for (std::size_t i = 0; i < counts_.size(); ++i)
    {
        total += counts_[i];
        std::string const bound = i < bounds_ms.size()
                                      ? fmt::format("{}", bounds_ms[i] / 1000.0)
                                      : "+Inf";
        fmt::format_to(out, "kumquatramp_{}_bucket{{le=\"{}\"}} {}\n", name,
                       bound, total);
    }
    fmt::format_to(out, "kumquatramp_{}_sum {}\nkumquatramp_{}_count {}\n",
                   name, sum_s_, name, total);
}

void service_counters::print(std::string& text) const
{
    auto const count = [&](std::string_view name, std::uint64_t value)
    { print_metric(text, name, static_cast<double>(value)); };
    count("requests_total", requests);
    count("answers_relayed_total", relayed);
    count("answers_whole_total", merged_whole);
    count("answers_partial_total", merged_partial);
    count("requests_refused_total", refused);
    count("requests_failed_total", failed);
    count("clients_left_total", client_left);
    count("sends_total", sends);
    count("sends_broken_total", sends_broken);
    count("sends_refused_total", sends_refused);
    request_latency.print(text, "request_seconds");
    send_latency.print(text, "send_seconds");
}

} // namespace kumquatramp::host
