// Messages by which a steward lets other hosts send to a cold target.
#ifndef KUMQUATRAMP_MEMBERSHIP_SEND_GRANT_HPP
#define KUMQUATRAMP_MEMBERSHIP_SEND_GRANT_HPP

#include <base/ids.hpp>
#include <base/time.hpp>
#include <cstdint>
#include <limits/attempt_outcome.hpp>
#include <limits/warmth.hpp>

namespace kumquatramp
{

/// A steward's answer to a host that wants to send to a cold target.
struct grant_answer
{
    /// Number of the grant on its steward; 0 if there is none.
    std::uint64_t grant = 0;

    /// What the steward believes of the target.
    warmth seen;

    bool granted() const noexcept { return grant != 0; }
};

/// How the one send under a grant ended.
struct grant_report
{
    target_name target;
    std::uint64_t grant = 0;
    attempt_outcome outcome = attempt_outcome::not_sent;
    duration latency{0};
};

/// A grant covers a send that starts within this time of the question.
inline constexpr duration grant_lifetime = 300ms;

/// A send under a grant must have its answer within this time.
inline constexpr duration granted_send_timeout = 2s;

/// After this time the steward takes back the place of a grant that was not
/// reported on. Invariant: above grant_lifetime + granted_send_timeout, and
/// with the lifetime of a view below steward_hold_off.
inline constexpr duration grant_reclaim_timeout = 2500ms;

} // namespace kumquatramp

#endif
