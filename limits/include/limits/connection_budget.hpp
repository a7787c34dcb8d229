// The share of a target's connection limit that one host may use.
#ifndef KUMQUATRAMP_LIMITS_CONNECTION_BUDGET_HPP
#define KUMQUATRAMP_LIMITS_CONNECTION_BUDGET_HPP

#include <base/time.hpp>
#include <cstdint>

namespace kumquatramp
{

/// An equal share of nine tenths of the limit. It falls at once when more
/// hosts share the target, and rises only to what was right for all of
/// `hold_off`. A host that has just started holds at most one connection
/// for as long. Not safe from several threads.
///
/// The shares of all hosts together stay under the target's limit if
/// - every host that holds connections is counted by each other host within
///   `hold_off` of its start, and until it has closed them, and
/// - no more hosts start within one hold_off than the tenth that is kept
///   free.
class connection_budget
{
public:
    /// Longer than hosts may disagree about who is a member.
    static constexpr duration hold_off = 7s;

    /// Takes the target's limit and the number of hosts that share it.
    void configure(std::uint32_t connections, std::uint32_t hosts,
                   time_point now);

    /// Lets a rise take effect once its time has come.
    void advance(time_point now);

    std::uint32_t share() const { return granted_share_; }

private:
    std::uint32_t desired_share_ = 0;  // by the latest bounds
    std::uint32_t granted_share_ = 0;  // <= every wanted_ of the last hold_off
    std::uint32_t pending_share_ = 0;  // least wanted_ since rise_since_
    time_point pending_since_ = never; // never: no rise is waiting
    bool started_ = false;
};

} // namespace kumquatramp

#endif
