// Counters and latency quantiles of callers' requests, for metric scrapers.
#ifndef KUMQUATRAMP_TRANSPORT_REQUEST_METRICS_HPP
#define KUMQUATRAMP_TRANSPORT_REQUEST_METRICS_HPP

#include <base/ids.hpp>
#include <base/time.hpp>
#include <map>
#include <memory>
#include <mutex>
#include <node/request_answer.hpp>
#include <string>

namespace kumquatramp
{

/// Accumulators per service, rotated every window so that quantiles cover the
/// current or the previous window, whichever has more samples. Thread-safe.
class request_metrics
{
public:
    request_metrics();
    ~request_metrics();

    /// Records an answer. Refusals of unknown services are counted under the
    /// name "unknown", so that callers cannot grow the table without limit.
    void record(service_name const& service, request_answer const& answer,
                duration elapsed, time_point now);

    /// Renders the metrics in the Prometheus text format.
    std::string text(time_point now) const;

private:
    struct service_counts;
    std::shared_ptr<service_counts> counts_of(service_name const& service);

    mutable std::mutex mutex_;
    std::map<service_name, std::shared_ptr<service_counts>>
        services_; // guarded by mutex_
};

} // namespace kumquatramp

#endif
