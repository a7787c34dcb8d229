// A host's local view of the state of another host.
#ifndef KUMQUATRAMP_MEMBERSHIP_MEMBER_STATE_HPP
#define KUMQUATRAMP_MEMBERSHIP_MEMBER_STATE_HPP

#include <base/ids.hpp>
#include <config/member_entry.hpp>
#include <cstdint>
#include <string_view>

namespace kumquatramp
{

enum class liveness : std::uint8_t
{
    unheard, ///< listed by the platform, no heartbeat received yet
    live,    ///< heartbeat increased within suspicion_time
    suspect, ///< heartbeat has not increased for suspicion_time
    dead,    ///< heartbeat has not increased for death_time
    leaving, ///< announced as leaving by itself or the platform
};

std::string_view to_string(liveness state) noexcept;

struct member_state
{
    member_entry entry;
    incarnation life;
    liveness state = liveness::unheard;
};

} // namespace kumquatramp

#endif
