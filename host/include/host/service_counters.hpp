// Counters and latency histograms of a host, for the metrics endpoint.
#ifndef KUMQUATRAMP_HOST_SERVICE_COUNTERS_HPP
#define KUMQUATRAMP_HOST_SERVICE_COUNTERS_HPP

#include <array>
#include <base/error_kind.hpp>
#include <base/time.hpp>
#include <cstdint>
#include <serving/request_type.hpp>
#include <string>
#include <string_view>

namespace kumquatramp::host
{

/// Histogram with fixed buckets, so that those of several hosts can be summed.
class latency_histogram
{
public:
    void add(duration latency);
    /// Appends the histogram in the text format of print_metric. `label` is
    /// empty or one pair, e.g. type="query".
    void print(std::string& text, std::string_view name,
               std::string_view label = {}) const;

private:
    static constexpr std::array<int, 12> bounds_ms{
        1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000};
    std::array<std::uint64_t, bounds_ms.size() + 1> counts_{};
    double sum_s_ = 0;
};

struct service_counters
{
    std::uint64_t requests = 0;
    std::uint64_t relayed = 0;
    std::uint64_t merged_complete = 0;
    std::uint64_t merged_partial = 0;
    /// Error answers that this host generated, by kind.
    std::array<std::uint64_t, error_kind_count> errors{};
    std::uint64_t client_disconnects = 0;
    std::uint64_t sends = 0;
    std::uint64_t sends_broken = 0;
    std::uint64_t sends_refused = 0;
    std::array<latency_histogram, serving::request_type_count> request_latency;
    latency_histogram send_latency;

    void count_error(error_kind kind);

    /// Appends all counters as metrics.
    void print(std::string& text) const;
};

/// Appends one line in the Prometheus text format; `label` is empty or one
/// pair.
void print_metric(std::string& text, std::string_view name, double value,
                  std::string_view label = {});

} // namespace kumquatramp::host

#endif
