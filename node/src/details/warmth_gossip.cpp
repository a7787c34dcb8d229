// Gossip about target warmth; changes are sent first.
#include "details/warmth_gossip.hpp"
#include <algorithm>

namespace kumquatramp
{

namespace
{

// Transmissions of a change after which it has reached a fleet of 1,000 hosts
// with high probability (a few times the logarithm of the number of hosts).
constexpr std::uint32_t transmissions_per_rumour = 24;

} // namespace

std::vector<warmth_notice> warmth_gossip::next(routing_table const& table)
{
    std::vector<warmth_notice> notices;
    std::lock_guard const guard(mutex_);
    auto const& all = table.replicas();
    if (rumours_.size() > all.size())
    {
        std::erase_if(rumours_, [&](auto const& entry)
                      { return !table.find(entry.first); });
    }
    for (auto const& target : all)
    {
        auto const seen = target->gate->seen();
        auto& rumour = rumours_[target->entry.name];
        if (rumour.last != seen)
        {
            rumour.last = seen;
            rumour.remaining = transmissions_per_rumour;
        }
        if (rumour.remaining > 0 && notices.size() < max_warmth_notices)
        {
            --rumour.remaining;
            notices.push_back({target->entry.name, seen});
        }
    }
    for (std::size_t i = 0;
         i < all.size() && notices.size() < max_warmth_notices; ++i)
    {
        auto const& target = all[next_index_++ % all.size()];
        auto const seen = target->gate->seen();
        if (seen.epoch > 0 && rumours_[target->entry.name].remaining == 0)
        {
            notices.push_back({target->entry.name, seen});
        }
    }
    return notices;
}

void warmth_gossip::apply_notices(std::vector<warmth_notice> const& notices,
                                  routing_table const& table, time_point now)
{
    for (auto const& notice : notices)
    {
        if (auto const target = table.find(notice.target))
        {
            target->gate->observe(notice.seen, now);
        }
    }
}

} // namespace kumquatramp
