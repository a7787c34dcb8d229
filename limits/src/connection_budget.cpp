// Connection shares: decreases apply immediately, increases after a hold-off.
#include <algorithm>
#include <limits/connection_budget.hpp>

namespace kumquatramp
{
namespace
{

/// A tenth of the target's limit is reserved for hosts that have just started.
constexpr std::uint32_t usable_tenths = 9;

std::uint32_t equal_share(std::uint32_t connections, std::uint32_t hosts)
{
    auto const usable = std::uint64_t{connections} * usable_tenths / 10;
    return static_cast<std::uint32_t>(usable / std::max(hosts, 1U));
}

} // namespace

void connection_budget::configure(std::uint32_t connections,
                                  std::uint32_t hosts, time_point now)
{
    advance(now);
    desired_share_ = equal_share(connections, hosts);
    if (!started_)
    {
        started_ = true;
        granted_share_ = std::min(desired_share_, 1U);
    }
    if (desired_share_ <= granted_share_)
    {
        granted_share_ = desired_share_;
        pending_since_ = never;
        return;
    }
    bool const waiting = pending_since_ != never;
    pending_share_ =
        waiting ? std::min(pending_share_, desired_share_) : desired_share_;
    pending_since_ = waiting ? pending_since_ : now;
}

void connection_budget::advance(time_point now)
{
    if (pending_since_ == never || now - pending_since_ < hold_off)
    {
        return;
    }
    granted_share_ = pending_share_;
    pending_since_ = desired_share_ > granted_share_ ? now : never;
    pending_share_ = desired_share_;
}

} // namespace kumquatramp
