// Per-caller state of the admission controller, in bounded memory.
#ifndef KUMQUATRAMP_LIMITS_DETAILS_CALLER_TABLE_HPP
#define KUMQUATRAMP_LIMITS_DETAILS_CALLER_TABLE_HPP

#include <array>
#include <base/ids.hpp>
#include <base/time.hpp>
#include <cstdint>
#include <details/token_bucket.hpp>
#include <unordered_map>

namespace kumquatramp
{

struct caller_entry
{
    std::uint32_t in_flight = 0;
    std::uint8_t priority = 0; // of the requests in flight
    token_bucket tokens;
};

/// One entry per caller and service, keyed by hash. Idle entries with a full
/// token bucket are evicted when the table is full. If none can be evicted,
/// further callers share a fixed set of entries, so that arbitrary caller names
/// cannot exhaust memory.
class caller_table
{
public:
    static constexpr std::size_t capacity = 4096;
    static constexpr std::size_t shared_entries = 64;

    /// The entry in which to count a new request of the caller.
    caller_entry& entry(service_name const& service, caller_name const& caller,
                        time_point now);

    /// The entry in which a request of the caller is counted; null if the
    /// caller has none in flight.
    caller_entry* find_in_use(service_name const& service,
                              caller_name const& caller);

private:
    void evict_idle(time_point now);

    std::unordered_map<std::uint64_t, caller_entry> entries_; // <= capacity
    std::array<caller_entry, shared_entries> shared_;
    time_point next_eviction_{};
};

} // namespace kumquatramp

#endif
