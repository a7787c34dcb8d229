// Remembers recent departures, for a registry that is restored from a copy.
#ifndef KUMQUATRAMP_SERVING_DEPARTURE_MEMORY_HPP
#define KUMQUATRAMP_SERVING_DEPARTURE_MEMORY_HPP

#include <base/time.hpp>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace kumquatramp::serving
{

struct target_record;

/// Targets that have left and evacuations that have ended. A restored registry
/// may list either as it was before.
class departure_memory
{
public:
    void add_target(target_record const& record, time_point now);
    void add_evacuation(std::string const& zone, time_point now);

    /// Whether this incarnation of the target, or a later one, has left.
    bool has_left(target_record const& record) const;
    /// Whether an evacuation of the zone has ended.
    bool has_ended(std::string const& zone) const;

    /// Forgets what is older than any copy.
    void tick(time_point now);

private:
    struct departure
    {
        std::int64_t incarnation_start_ms = 0;
        time_point at{};
    };

    std::unordered_map<std::string, departure> targets_; ///< by id; bounded
    std::unordered_map<std::string, time_point> evacuations_; ///< by zone
};

} // namespace kumquatramp::serving

#endif
