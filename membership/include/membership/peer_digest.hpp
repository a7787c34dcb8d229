// Gossip message that hosts exchange with each other.
#ifndef KUMQUATRAMP_MEMBERSHIP_PEER_DIGEST_HPP
#define KUMQUATRAMP_MEMBERSHIP_PEER_DIGEST_HPP

#include <base/ids.hpp>
#include <base/time.hpp>
#include <config/config_stamp.hpp>
#include <limits/warmth.hpp>
#include <string>
#include <vector>

namespace kumquatramp
{

/// Liveness of one host. Within an incarnation, the higher count is newer.
/// Incarnations have no order; see member_record for the choice between them.
struct heartbeat
{
    host_name host;
    incarnation life;
    std::uint64_t count = 0; ///< incremented by the host itself in each round
    bool leaving = false;

    friend bool operator==(heartbeat const&, heartbeat const&) = default;
};

/// Warmth of one target as seen by the sender.
struct warmth_notice
{
    target_name target;
    warmth seen;

    friend bool operator==(warmth_notice const&,
                           warmth_notice const&) = default;
};

/// Sent in both directions of an exchange. Holds at most max_heartbeats and
/// max_warmth_notices entries.
struct peer_digest
{
    host_name from;
    incarnation life;
    bool leaving = false;
    /// Whether the sender has booted and serves. Receivers use its stamps and
    /// view age only if it has.
    bool booted = false;
    std::vector<keyed_stamp> stamps;
    /// Age of the sender's view at the time of sending; duration::max() if the
    /// view was never confirmed. An age rather than a time stamp, since the
    /// hosts' clocks are not synchronized.
    duration view_age = duration::max();
    std::vector<heartbeat> heartbeats;
    std::vector<warmth_notice> warmths;
};

inline constexpr std::size_t max_heartbeats = 24;
inline constexpr std::size_t max_warmth_notices = 24;

} // namespace kumquatramp

#endif
