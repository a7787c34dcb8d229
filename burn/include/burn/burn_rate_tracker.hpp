// Counts good and bad events per service and over time.
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

/// Keeps a ring of one-minute slices that covers one day, so that the memory
/// per service is fixed. Services are distributed over shards, each with its
/// own lock. Safe to call from any thread.
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

    /// Sets the objective of a service: the share of its events that must be
    /// good, where a good event is a complete answer within `within`.
    /// `objective` is clamped to [0, max_objective]. Counts are kept.
    void set_objective(service_name const& service, double objective,
                       duration within);

    /// Counts an event. An event that is older than the latest one of its
    /// service is counted at the time of the latest. Services beyond
    /// max_services are not counted.
    void record(service_name const& service, bool good, time_point now);

    /// Returns one row per service that has an objective or an event, sorted
    /// by name.
    std::vector<burn_row> report(time_point now) const;

    static constexpr double max_objective = 0.99999;
    static constexpr std::size_t max_services = 256;

private:
    class shard;

    shard& shard_of(service_name const& service) const;

    std::atomic<std::size_t> services_ = 0; // number, over all shards
    std::vector<std::unique_ptr<shard>> shards_;
};

} // namespace kumquatramp

#endif
