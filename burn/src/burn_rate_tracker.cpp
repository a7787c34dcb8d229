// Shards of the tracker, and the report over all of them.
#include <algorithm>
#include <atomic>
#include <base/rendezvous.hpp>
#include <burn/burn_rate_tracker.hpp>
#include <details/slice_ring.hpp>
#include <map>
#include <mutex>

namespace kumquatramp
{

namespace
{

constexpr std::size_t shard_count = 16;

} // namespace

/// The services of one shard.
class burn_rate_tracker::shard
{
public:
    /// `services` is the number of services over all shards; the shard keeps
    /// a reference to it.
    explicit shard(std::atomic<std::size_t>& services)
        : services_(services)
    {
    }

    void set_objective(service_name const& service, double objective,
                       duration within);
    void record(service_name const& service, bool good, time_point now);
    void report(std::vector<burn_row>& rows, time_point now) const;

private:
    struct entry
    {
        double objective = burn_row{}.objective;
        duration within = burn_row{}.within;
        slice_ring slices;
    };

    // Null if the service is new and max_services is reached. The caller must
    // hold mutex_.
    entry* find_or_add(service_name const& service);

    std::atomic<std::size_t>& services_;
    mutable std::mutex mutex_;
    std::map<service_name, entry> entries_; // guarded by mutex_
};

burn_rate_tracker::shard::entry*
burn_rate_tracker::shard::find_or_add(service_name const& service)
{
    auto const found = entries_.find(service);
    if (found != entries_.end())
    {
        return &found->second;
    }
    if (services_.fetch_add(1) >= max_services)
    {
        services_.fetch_sub(1);
        return nullptr;
    }
    return &entries_[service];
}

void burn_rate_tracker::shard::set_objective(service_name const& service,
                                             double objective, duration within)
{
    std::lock_guard const guard(mutex_);
    if (auto* const found = find_or_add(service))
    {
        found->objective = std::clamp(objective, 0.0, max_objective);
        found->within = within;
    }
}

void burn_rate_tracker::shard::record(service_name const& service, bool good,
                                      time_point now)
{
    std::lock_guard const guard(mutex_);
    if (auto* const found = find_or_add(service))
    {
        found->slices.record(good, now);
    }
}

void burn_rate_tracker::shard::report(std::vector<burn_row>& rows,
                                      time_point now) const
{
    std::lock_guard const guard(mutex_);
    for (auto const& [service, item] : entries_)
    {
        burn_row row;
        row.service = service;
        row.objective = item.objective;
        row.within = item.within;
        for (auto const window : all_burn_windows)
        {
            row.windows[static_cast<std::size_t>(window)] =
                item.slices.sum(span_of(window), duration::zero(), now);
        }
        for (auto age = burn_history_length; age > 0; --age)
        {
            auto const begin = static_cast<int>(age) * burn_history_slice;
            row.history.push_back(
                item.slices.sum(begin, begin - burn_history_slice, now));
        }
        rows.push_back(std::move(row));
    }
}

burn_rate_tracker::burn_rate_tracker()
{
    for (std::size_t i = 0; i < shard_count; ++i)
    {
        shards_.push_back(std::make_unique<shard>(services_));
    }
}

burn_rate_tracker::~burn_rate_tracker() = default;

burn_rate_tracker::shard&
burn_rate_tracker::shard_of(service_name const& service) const
{
    return *shards_[stable_hash(service.value()) % shard_count];
}

void burn_rate_tracker::set_objective(service_name const& service,
                                      double objective, duration within)
{
    shard_of(service).set_objective(service, objective, within);
}

void burn_rate_tracker::record(service_name const& service, bool good,
                               time_point now)
{
    shard_of(service).record(service, good, now);
}

std::vector<burn_row> burn_rate_tracker::report(time_point now) const
{
    std::vector<burn_row> rows;
    for (auto const& part : shards_)
    {
        part->report(rows, now);
    }
    std::sort(rows.begin(), rows.end(),
              [](burn_row const& a, burn_row const& b)
              { return a.service < b.service; });
    return rows;
}

} // namespace kumquatramp
