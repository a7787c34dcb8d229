// Lookup and eviction of caller entries.
#include <base/rendezvous.hpp>
#include <bit>
#include <details/caller_table.hpp>

namespace kumquatramp
{
namespace
{

/// Eviction scans every entry, so it does not run for every new name.
constexpr duration eviction_interval = 1s;

std::uint64_t key_of(service_name const& service, caller_name const& caller)
{
    auto const of_service = stable_hash(service.value());
    return std::rotl(of_service, 17) ^ stable_hash(caller.value());
}

} // namespace

caller_entry& caller_table::entry(service_name const& service,
                                  caller_name const& caller, time_point now)
{
    auto const key = key_of(service, caller);
    auto const found = entries_.find(key);
    if (found != entries_.end())
    {
        return found->second;
    }
    if (entries_.size() >= capacity && now >= next_eviction_)
    {
        evict_idle(now);
    }
    if (entries_.size() >= capacity)
    {
        return shared_[key % shared_entries];
    }
    return entries_[key];
}

caller_entry* caller_table::find_in_use(service_name const& service,
                                        caller_name const& caller)
{
    auto const key = key_of(service, caller);
    auto const found = entries_.find(key);
    if (found != entries_.end() && found->second.in_flight > 0)
    {
        return &found->second;
    }
    auto& shared = shared_[key % shared_entries];
    return shared.in_flight > 0 ? &shared : nullptr;
}

void caller_table::evict_idle(time_point now)
{
    next_eviction_ = now + eviction_interval;
    std::erase_if(entries_,
                  [now](auto const& item)
                  {
                      auto const& entry = item.second;
                      return entry.in_flight == 0 && entry.tokens.full(now);
                  });
}

} // namespace kumquatramp
