// Measures one service over a span of a bench run.
#include "measurement.hpp"
#include <algorithm>
#include <cstdio>
#include <vector>

namespace kumquatramp::bench
{

namespace
{

duration quantile(std::vector<duration> const& sorted, double share)
{
    if (sorted.empty())
    {
        return duration{0};
    }
    auto const count = static_cast<double>(sorted.size());
    return sorted[static_cast<std::size_t>(count * share)];
}

/// Counts the sends whose first byte left a host for a target of the service.
/// The names of these targets begin with the name of the service.
std::size_t sends_to(scenarios::run_log const& log, std::string const& service,
                     measured_span span)
{
    return static_cast<std::size_t>(
        std::count_if(log.sends.begin(), log.sends.end(),
                      [&](scenarios::send_record const& send)
                      {
                          return send.at >= span.first && send.at < span.last &&
                                 send.target.value().starts_with(service + "-");
                      }));
}

double milliseconds(duration time)
{
    return static_cast<double>(time.count()) / 1e6;
}

} // namespace

measurement measure(scenarios::run_log const& log, std::string const& service,
                    std::uint32_t shards, measured_span span,
                    duration time_limit)
{
    measurement measured;
    std::vector<duration> times;
    double covered = 0;
    double good = 0;
    for (auto const& each : log.callers)
    {
        if (each.service.value() != service || each.asked < span.first ||
            each.asked >= span.last)
        {
            continue;
        }
        auto const time = each.ended - each.asked;
        times.push_back(time);
        measured.lost += each.lost ? 1 : 0;
        measured.failed += each.failed ? 1 : 0;
        if (!each.lost && !each.failed)
        {
            covered += each.coverage;
            good += each.coverage >= 1.0 && time <= time_limit ? 1 : 0;
        }
    }
    std::sort(times.begin(), times.end());
    measured.requests = times.size();
    measured.p50 = quantile(times, 0.5);
    measured.p99 = quantile(times, 0.99);
    measured.p999 = quantile(times, 0.999);
    auto const count =
        static_cast<double>(std::max<std::size_t>(times.size(), 1));
    measured.coverage = covered / count;
    measured.on_time = good / count;
    auto const sends = static_cast<double>(sends_to(log, service, span));
    measured.extra_load = sends / (count * shards) - 1.0;
    return measured;
}

std::string to_row(measurement const& measured)
{
    char text[128];
    std::snprintf(text, sizeof text,
                  "%8zu %8.1f %8.1f %8.1f %9.4f %8.4f %7.2f%% %5zu %6zu",
                  measured.requests, milliseconds(measured.p50),
                  milliseconds(measured.p99), milliseconds(measured.p999),
                  measured.coverage, measured.on_time,
                  measured.extra_load * 100.0, measured.lost, measured.failed);
    return text;
}

std::string table_header()
{
    return "requests   p50 ms   p99 ms p99.9 ms  coverage  on time   extra  "
           "lost failed";
}

} // namespace kumquatramp::bench
