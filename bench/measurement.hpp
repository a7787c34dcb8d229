// Measures one service over a span of a bench run.
#ifndef KUMQUATRAMP_BENCH_MEASUREMENT_HPP
#define KUMQUATRAMP_BENCH_MEASUREMENT_HPP

#include <base/time.hpp>
#include <cstddef>
#include <scenarios/run_log.hpp>
#include <string>

namespace kumquatramp::bench
{

/// Selects the requests issued within [first, last).
struct measured_span
{
    time_point first;
    time_point last;
};

/// Latencies are measured at the callers.
struct measurement
{
    std::size_t requests = 0;
    duration p50{0};
    duration p99{0};
    duration p999{0};
    double coverage = 0;   ///< mean; failed and lost requests count as 0
    double on_time = 0;    ///< share complete and within the time limit
    double extra_load = 0; ///< sends / (requests * shards), minus 1
    std::size_t lost = 0;  ///< requests that no host answered
    std::size_t failed = 0;
};

/// `shards` is the minimum number of sends per request, without hedges or
/// retries.
measurement measure(scenarios::run_log const& log, std::string const& service,
                    std::uint32_t shards, measured_span span,
                    duration time_limit);

/// Formats one table row, without the name of the run.
std::string to_row(measurement const& measured);

/// Returns the header for rows formatted by to_row().
std::string table_header();

} // namespace kumquatramp::bench

#endif
