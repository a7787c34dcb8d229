// Keeps departures for a fixed time and up to a fixed number.
#include <algorithm>
#include <serving/departure_memory.hpp>
#include <serving/target_record.hpp>

namespace kumquatramp::serving
{

namespace
{

/// Covers the age of a copy and the time until its registry is trusted again.
constexpr duration memory_time = 20s;
/// Above it the oldest departure is forgotten early.
constexpr std::size_t max_targets = 4096;

} // namespace

void departure_memory::add_target(target_record const& record, time_point now)
{
    if (targets_.size() >= max_targets && !targets_.contains(record.id))
    {
        targets_.erase(std::min_element(targets_.begin(), targets_.end(),
                                        [](auto const& a, auto const& b)
                                        { return a.second.at < b.second.at; }));
    }
    targets_[record.id] = {record.incarnation_start_ms, now};
}

void departure_memory::add_evacuation(std::string const& zone, time_point now)
{
    evacuations_[zone] = now;
}

bool departure_memory::has_left(target_record const& record) const
{
    auto const found = targets_.find(record.id);
    return found != targets_.end() &&
           record.incarnation_start_ms <= found->second.incarnation_start_ms;
}

bool departure_memory::has_ended(std::string const& zone) const
{
    return evacuations_.contains(zone);
}

void departure_memory::tick(time_point now)
{
    std::erase_if(targets_, [&](auto const& entry)
                  { return now - entry.second.at >= memory_time; });
    std::erase_if(evacuations_, [&](auto const& entry)
                  { return now - entry.second >= memory_time; });
}

} // namespace kumquatramp::serving
