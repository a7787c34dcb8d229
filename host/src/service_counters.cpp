// Prints counters and histograms in the Prometheus text format.
#include <base/error_answer.hpp>
#include <base/milliseconds.hpp>
#include <fmt/format.h>
#include <host/service_counters.hpp>
#include <iterator>

namespace kumquatramp::host
{

void print_metric(std::string& text, std::string_view name, double value,
                  std::string_view label)
{
    auto out = std::back_inserter(text);
    if (label.empty())
    {
        fmt::format_to(out, "kumquatramp_{} {}\n", name, value);
        return;
    }
    fmt::format_to(out, "kumquatramp_{}{{{}}} {}\n", name, label, value);
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

void latency_histogram::print(std::string& text, std::string_view name,
                              std::string_view label) const
{
    std::uint64_t total = 0;
    std::string_view const comma = label.empty() ? "" : ",";
    for (std::size_t i = 0; i < counts_.size(); ++i)
    {
        total += counts_[i];
        std::string const bound = i < bounds_ms.size()
                                      ? fmt::format("{}", bounds_ms[i] / 1000.0)
                                      : "+Inf";
        print_metric(text, fmt::format("{}_bucket", name),
                     static_cast<double>(total),
                     fmt::format("{}{}le=\"{}\"", label, comma, bound));
    }
    print_metric(text, fmt::format("{}_sum", name), sum_s_, label);
    print_metric(text, fmt::format("{}_count", name),
                 static_cast<double>(total), label);
}

void service_counters::count_error(error_kind kind)
{
    ++errors[static_cast<std::size_t>(kind)];
}

void service_counters::print(std::string& text) const
{
    auto const count = [&](std::string_view name, std::uint64_t value)
    { print_metric(text, name, static_cast<double>(value)); };
    count("requests_total", requests);
    count("answers_relayed_total", relayed);
    count("answers_whole_total", merged_complete);
    count("answers_partial_total", merged_partial);
    for (std::size_t i = 0; i < errors.size(); ++i)
    {
        auto const& row = answer_of(static_cast<error_kind>(i));
        if (errors[i] > 0)
        {
            print_metric(text,
                         row.state == run_state::not_run
                             ? "requests_refused_total"
                             : "requests_failed_total",
                         static_cast<double>(errors[i]),
                         fmt::format("reason=\"{}\"", row.code));
        }
    }
    count("clients_left_total", client_disconnects);
    count("sends_total", sends);
    count("sends_broken_total", sends_broken);
    count("sends_refused_total", sends_refused);
    for (std::size_t i = 0; i < request_latency.size(); ++i)
    {
        auto const type = static_cast<serving::request_type>(i);
        request_latency[i].print(text, "request_seconds",
                                 fmt::format("type=\"{}\"", to_string(type)));
    }
    send_latency.print(text, "send_seconds");
}

} // namespace kumquatramp::host
