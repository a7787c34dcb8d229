// Counts what callers got, per service and over time.
#ifndef KUMQUATRAMP_BURN_BURN_RATE_TRACKER_HPP
#define KUMQUATRAMP_BURN_BURN_RATE_TRACKER_HPP

#include <atomic>
#include <base/ids.hpp>
#include <base/time.hpp>
#include <burn/burn_row.hpp>
#include <cstddef>
#include <memory>
#include <vector>

namespace kumquatramp
{

/// Keeps rotating slices of one minute over one day, a fixed size per
/// service. Services are spread over shards, each under its own lock. Safe
/// from any thread.
///
///     burn_rate_tracker tracker;
///     tracker.set_objective(stock, 0.99, 1s);
///     tracker.record(stock, whole && on_time, now);
///     render_burn_json(tracker.report(now));
class burn_rate_tracker
{
public:
    burn_rate_tracker();
    ~burn_rate_tracker();

    /// Sets what a service has to reach: this share of its events good, an
    /// event being good if it is whole within `within`. `objective` is held
    /// within [0, max_objective]. The counts stay.
    void set_objective(service_name const& service, double objective,
                       duration within);

    /// Counts an event. One that is dated before the latest one counts with
    /// the latest. Services beyond max_services are not counted.
    void record(service_name const& service, bool good, time_point now);

    /// One row per service with an objective or an event, in the order of
    /// their names.
    std::vector<burn_row> report(time_point now) const;

    static constexpr double max_objective = 0.99999;
    static constexpr std::size_t max_services = 256;

private:
    class shard;

    shard& shard_of(service_name const& service) const;

    std::atomic<std::size_t> services_ = 0; // of all shards
    std::vector<std::unique_ptr<shard>> shards_;
};

} // namespace kumquatramp

#endif
