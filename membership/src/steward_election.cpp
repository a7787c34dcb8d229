// Steward election: rendezvous among the serving hosts, with a hold-off.
#include <base/rendezvous.hpp>
#include <membership/steward_election.hpp>
#include <unordered_map>
#include <utility>
#include <vector>

namespace kumquatramp
{

// Ownership of a target among a set of hosts changes only if the host with the
// highest rendezvous weight changes. It is therefore enough to keep, for each
// other host, the last time at which it was serving; this gives the time since
// which the local host outweighs all others, for any target.
struct steward_election::state
{
    struct other_host
    {
        bool serving = false;
        // When it stopped serving; unused while it serves.
        time_point stopped_serving{};
    };

    host_name self;
    duration hold_off{};
    // Longest time between two calls of set_serving().
    duration max_update_gap{};
    // Last call of set_serving().
    time_point last_update{};
    bool self_serving = false;
    // When this host started to serve or was reset.
    time_point hold_off_start{};
    std::unordered_map<host_name, other_host> other_hosts;

    void mark_all_stopped(time_point now);
    void erase_expired(time_point now);
    bool outweighs(target_name const& target, host_name const& other) const;
};

void steward_election::state::mark_all_stopped(time_point now)
{
    for (auto& [name, other] : other_hosts)
    {
        if (other.serving)
        {
            other.serving = false;
            other.stopped_serving = now;
        }
    }
}

// Hosts that stopped serving more than a hold-off ago have no influence.
void steward_election::state::erase_expired(time_point now)
{
    std::erase_if(other_hosts,
                  [&](auto const& item)
                  {
                      auto const& other = item.second;
                      return !other.serving &&
                             now - other.stopped_serving > hold_off;
                  });
}

bool steward_election::state::outweighs(target_name const& target,
                                        host_name const& other) const
{
    auto const own = rendezvous_weight(target.value(), self.value());
    auto const theirs = rendezvous_weight(target.value(), other.value());
    return own > theirs || (own == theirs && self < other);
}

steward_election::steward_election(host_name self,
                                   membership_options const& options)
    : state_(std::make_unique<state>())
{
    state_->self = std::move(self);
    state_->hold_off = options.steward_hold_off;
    state_->max_update_gap = options.view_lifetime;
}

steward_election::~steward_election() = default;

void steward_election::set_serving(std::span<member_entry const> serving,
                                   time_point now)
{
    std::lock_guard const guard(mutex_);
    bool const continuous = state_->self_serving &&
                            now - state_->last_update <= state_->max_update_gap;
    state_->last_update = now;
    state_->self_serving = false;
    state_->mark_all_stopped(now);
    for (auto const& entry : serving)
    {
        if (entry.name == state_->self)
        {
            state_->self_serving = true;
            continue;
        }
        state_->other_hosts[entry.name] = {true, {}};
    }
    if (!continuous)
    {
        state_->hold_off_start = now;
    }
    state_->erase_expired(now);
}

void steward_election::reset(time_point now)
{
    std::lock_guard const guard(mutex_);
    state_->hold_off_start = now;
}

bool steward_election::is_steward(target_name const& target,
                                  time_point now) const
{
    std::lock_guard const guard(mutex_);
    if (!state_->self_serving ||
        now - state_->last_update > state_->max_update_gap ||
        now - state_->hold_off_start < state_->hold_off)
    {
        return false;
    }
    for (auto const& [name, other] : state_->other_hosts)
    {
        bool const relevant =
            other.serving || now - other.stopped_serving < state_->hold_off;
        if (relevant && !state_->outweighs(target, name))
        {
            return false;
        }
    }
    return true;
}

} // namespace kumquatramp
