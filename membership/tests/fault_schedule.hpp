// Random fault injection for the simulated fleet.
#ifndef KUMQUATRAMP_MEMBERSHIP_TESTS_FAULT_SCHEDULE_HPP
#define KUMQUATRAMP_MEMBERSHIP_TESTS_FAULT_SCHEDULE_HPP

#include "simulated_fleet.hpp"

#include <algorithm>
#include <membership/voters.hpp>
#include <sstream>
#include <string>

namespace kumquatramp
{

/// Injects random faults and records a trace of them. A pause ends by itself.
/// Partitions and platform faults last until the next heal(), which inject()
/// selects at random and which also precedes each new partition.
class fault_schedule
{
public:
    explicit fault_schedule(simulated_fleet& fleet)
        : fleet_(fleet)
    {
    }

    /// Injects one fault, in addition to those still in effect.
    void inject()
    {
        switch (fleet_.random().below(7))
        {
        case 0:
            return pause_hosts();
        case 1:
            return partition_minority();
        case 2:
            return restart_host();
        case 3:
            return take_platform_down();
        case 4:
            return make_platform_stale();
        case 5:
            return heal();
        default:
            add_to_trace("publish");
            first_readable_at_ = fleet_.now();
            fleet_.publish();
        }
    }

    std::string trace() const { return trace_.str(); }

private:
    void add_to_trace(std::string const& what)
    {
        trace_ << "\n  at " << fleet_.now().time_since_epoch() / 1ms << " ms "
               << what;
    }

    std::size_t random_host_index()
    {
        return fleet_.random().below(fleet_.hosts().size());
    }

    void pause_hosts()
    {
        auto const count = 1 + fleet_.random().below(4);
        for (std::size_t i = 0; i < count; ++i)
        {
            auto const index = random_host_index();
            duration const span = 500ms * (1 + fleet_.random().below(40));
            add_to_trace("pause " + std::to_string(index) + " for " +
                         std::to_string(span / 1ms) + " ms");
            fleet_.pause(index, span);
        }
    }

    // Moves hosts into one or two groups that are cut off from the others; each
    // of them loses the platform as well with a probability of 1/2. They are
    // too few to hold a majority of the voters. docs/VIEW_LEASE.md describes
    // the partitions that are not covered here.
    void partition_minority()
    {
        heal();
        partitioned_ = true;
        auto const voters = std::min(fleet_.hosts().size(), max_voters);
        auto const count = 1 + fleet_.random().below(voters / 2);
        for (std::size_t i = 0; i < count; ++i)
        {
            auto const index = random_host_index();
            add_to_trace("cut " + std::to_string(index));
            fleet_.assign_group(index,
                                1 + static_cast<int>(fleet_.random().below(2)));
            fleet_.hosts()[index].platform_reachable =
                fleet_.random().below(2) == 0;
        }
    }

    void restart_host()
    {
        auto const index = random_host_index();
        add_to_trace("restart " + std::to_string(index));
        fleet_.restart(index);
    }

    // Skipped shortly after a version was published: if all hosts lose the
    // platform when only a few have read the version, the others may not learn
    // that it was read.
    void take_platform_down()
    {
        if (fleet_.now() - first_readable_at_ < propagation_margin)
        {
            return;
        }
        add_to_trace("platform down");
        for (auto& h : fleet_.hosts())
        {
            h.platform_reachable = false;
        }
    }

    // Affects about a third of the hosts. Skipped during a partition and
    // shortly after its end: hosts that rejoin together may not yet know of the
    // newer version.
    void make_platform_stale()
    {
        if (partitioned_ || fleet_.now() - healed_at_ < propagation_margin)
        {
            return;
        }
        add_to_trace("platform stale");
        for (auto& h : fleet_.hosts())
        {
            h.platform_lag = fleet_.random().below(3) == 0 ? 1 : 0;
        }
    }

    void heal()
    {
        add_to_trace("heal");
        for (auto& h : fleet_.hosts())
        {
            h.group = 0;
            h.platform_reachable = true;
            h.platform_lag = 0;
        }
        first_readable_at_ = fleet_.now();
        healed_at_ = partitioned_ ? fleet_.now() : healed_at_;
        partitioned_ = false;
    }

    // Time for a version or a heal to propagate before a platform fault.
    static constexpr duration propagation_margin = 2s;

    // Earliest time at which the current version may have been read.
    time_point first_readable_at_{};
    bool partitioned_ = false;
    time_point healed_at_{}; // when the last partition was healed
    simulated_fleet& fleet_;
    std::ostringstream trace_;
};

} // namespace kumquatramp

#endif
