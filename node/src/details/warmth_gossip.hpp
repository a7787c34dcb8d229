// Which targets' warmth to tell peers about next.
#ifndef KUMQUATRAMP_NODE_DETAILS_WARMTH_GOSSIP_HPP
#define KUMQUATRAMP_NODE_DETAILS_WARMTH_GOSSIP_HPP

#include <cstdint>
#include <membership/peer_digest.hpp>
#include <mutex>
#include <routing/routing_table.hpp>
#include <unordered_map>

namespace kumquatramp
{

/// Changes go first, each a bounded number of times; the room that is left
/// goes to the other targets in turn. Safe from any thread.
class warmth_gossip
{
public:
    /// At most max_warmth_notices.
    std::vector<warmth_notice> next(routing_table const& table);

    /// Takes a peer's notices into the gates.
    static void apply_notices(std::vector<warmth_notice> const& notices,
                              routing_table const& table, time_point now);

private:
    struct rumour
    {
        warmth last;
        std::uint32_t remaining = 0; // transmissions_per_rumour left as news
    };

    std::mutex mutex_;
    // All below are guarded by mutex_.
    std::unordered_map<target_name, rumour> rumours_;
    std::size_t next_index_ = 0;
};

} // namespace kumquatramp

#endif
