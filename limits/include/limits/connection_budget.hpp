// Connections that one host may open to one target.
#ifndef KUMQUATRAMP_LIMITS_CONNECTION_BUDGET_HPP
#define KUMQUATRAMP_LIMITS_CONNECTION_BUDGET_HPP

#include <base/time.hpp>
#include <cstdint>

namespace kumquatramp
{

/// An equal share of nine tenths of the target's connection limit. It drops
/// immediately when more hosts share the target, and rises only to the smallest
/// share that applied during the whole of `hold_off`. A host that has just
/// started holds at most one connection for the same time. Not thread-safe.
///
/// The shares of all hosts together stay within the target's limit if
/// - each host that holds connections is counted by all other hosts, from no
///   later than `hold_off` after its start until it has closed them, and
/// - the hosts that start within one hold_off are no more than the reserved
///   tenth of the limit.
class connection_budget
{
public:
    /// Longer than the time for which hosts may disagree on the membership.
    static constexpr duration hold_off = 7s;

    /// Applies the target's limit and the number of hosts that share it.
    void configure(std::uint32_t connections, std::uint32_t hosts,
                   time_point now);

    /// Applies a pending increase once its hold-off has elapsed.
    void advance(time_point now);

    std::uint32_t share() const { return granted_share_; }

private:
    std::uint32_t desired_share_ = 0; // from the latest configure()
    // At most the smallest desired_share_ of the last hold_off.
    std::uint32_t granted_share_ = 0;
    // Smallest desired_share_ since pending_since_.
    std::uint32_t pending_share_ = 0;
    time_point pending_since_ = never; // never: no increase is pending
    bool started_ = false;
};

} // namespace kumquatramp

#endif
