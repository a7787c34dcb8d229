// Counters and latency histograms for scrapers.
#ifndef KUMQUATRAMP_HOST_SERVICE_COUNTERS_HPP
#define KUMQUATRAMP_HOST_SERVICE_COUNTERS_HPP

#include <array>
#include <base/time.hpp>
#include <cstdint>
#include <string>
#include <string_view>

namespace kumquatramp::host
{

/// Fixed buckets, so that the histograms of hosts can be added.
class latency_histogram
{
public:
    void add(duration latency);
    void print(std::string& text, std::string_view name) const;

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
    std::uint64_t merged_whole = 0;
    std::uint64_t merged_partial = 0;
    std::uint64_t refused = 0; ///< certainly not run
    std::uint64_t failed = 0;
    std::uint64_t client_left = 0;
    std::uint64_t sends = 0;
    std::uint64_t sends_broken = 0;
    std::uint64_t sends_refused = 0;
    latency_histogram request_latency;
    latency_histogram send_latency;

    void print(std::string& text) const;
};

/// One line of the text format.
void print_metric(std::string& text, std::string_view name, double value);

} // namespace kumquatramp::host

#endif
