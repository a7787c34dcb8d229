// Messages by which a steward permits other hosts to send to a cold target.
#ifndef KUMQUATRAMP_MEMBERSHIP_SEND_GRANT_HPP
#define KUMQUATRAMP_MEMBERSHIP_SEND_GRANT_HPP

#include <base/ids.hpp>
#include <base/time.hpp>
#include <cstdint>
#include <limits/attempt_outcome.hpp>
#include <limits/warmth.hpp>

namespace kumquatramp
{

/// A steward's answer to a host that asks to send to a cold target.
struct grant_answer
{
    /// Identifies the grant on its steward; 0 if the request was denied.
    std::uint64_t grant = 0;

    /// Warmth of the target as known to the steward.
    warmth seen;

    bool granted() const noexcept { return grant != 0; }
};

/// Outcome of the single send made under a grant.
struct grant_report
{
    target_name target;
    std::uint64_t grant = 0;
    attempt_outcome outcome = attempt_outcome::not_sent;
    duration latency{0};
};

/// A grant is valid for a send that starts within this time of the request.
inline constexpr duration grant_lifetime = 300ms;

/// A send under a grant must be answered within this time.
inline constexpr duration granted_send_timeout = 2s;

/// The steward reclaims the slot of an unreported grant after this time.
/// Invariants: above grant_lifetime + granted_send_timeout; the sum with
/// view_lifetime is below steward_hold_off.
inline constexpr duration grant_reclaim_timeout = 2500ms;

} // namespace kumquatramp

#endif
