// Selects the warmth notices to send to peers.
#ifndef KUMQUATRAMP_NODE_DETAILS_WARMTH_GOSSIP_HPP
#define KUMQUATRAMP_NODE_DETAILS_WARMTH_GOSSIP_HPP

#include <cstdint>
#include <membership/peer_digest.hpp>
#include <mutex>
#include <routing/routing_table.hpp>
#include <unordered_map>

namespace kumquatramp
{

/// Changes are sent first, each a bounded number of times; the remaining space
/// goes to the other targets in round-robin order. Thread-safe.
class warmth_gossip
{
public:
    /// The notices for the next digest; at most max_warmth_notices.
    std::vector<warmth_notice> next(routing_table const& table);

    /// Passes a peer's notices to the gates.
    static void apply_notices(std::vector<warmth_notice> const& notices,
                              routing_table const& table, time_point now);

private:
    struct rumour
    {
        warmth last;
        std::uint32_t remaining = 0; // transmissions left
    };

    std::mutex mutex_;
    // All below are guarded by mutex_.
    std::unordered_map<target_name, rumour> rumours_;
    std::size_t next_index_ = 0;
};

} // namespace kumquatramp

#endif
