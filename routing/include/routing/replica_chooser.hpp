// Selection of a replica for one attempt.
#ifndef KUMQUATRAMP_ROUTING_REPLICA_CHOOSER_HPP
#define KUMQUATRAMP_ROUTING_REPLICA_CHOOSER_HPP

#include <base/random_source.hpp>
#include <base/time.hpp>
#include <cstdint>
#include <memory>
#include <routing/replica.hpp>
#include <span>
#include <string_view>

namespace kumquatramp
{

/// Load-balancing policies. All but the last serve as baselines in benchmarks.
enum class choice_policy : std::uint8_t
{
    random,
    round_robin,
    least_in_flight,
    two_choices,      ///< the less loaded of two random picks
    expected_latency, ///< the lower smoothed latency, scaled by load
};

std::string_view to_string(choice_policy policy) noexcept;

/// Selects one of several open replicas, without acquiring a permit from its
/// gate. Thread-safe.
class replica_chooser
{
public:
    replica_chooser() = default;
    replica_chooser(replica_chooser const&) = delete;
    replica_chooser& operator=(replica_chooser const&) = delete;
    virtual ~replica_chooser() = default;

    /// Returns one of the candidates, which must be open; null if there are
    /// none.
    virtual replica_ptr choose(std::span<replica_ptr const> candidates,
                               time_point now, random_source& random) = 0;
};

std::unique_ptr<replica_chooser> make_replica_chooser(choice_policy policy);

} // namespace kumquatramp

#endif
