// Limits the rate at which hosts that are not readers poll the platform.
#ifndef KUMQUATRAMP_MEMBERSHIP_READ_PACER_HPP
#define KUMQUATRAMP_MEMBERSHIP_READ_PACER_HPP

#include <base/random_source.hpp>
#include <base/time.hpp>
#include <cstddef>
#include <membership/membership_options.hpp>
#include <mutex>

namespace kumquatramp
{

/// A host that is not a reader polls the platform itself when its view gets old
/// although its peers should keep it fresh. The pacer keeps the total rate of
/// these reads below a fixed limit, regardless of the size of the fleet, and
/// backs off while they do not help. Thread-safe.
class read_pacer
{
public:
    /// `random` must outlive the pacer.
    read_pacer(membership_options const& options, random_source& random);

    /// Whether to read every key now, given the age of the view and a fleet of
    /// `members` hosts. The caller must read if this returns true, since the
    /// next read is then scheduled after a back-off interval.
    bool due(duration view_age, std::size_t members, time_point now);

    /// Upper limit for the average number of key reads per second, summed over
    /// all hosts and keys.
    static constexpr int fleet_reads_per_second = 300;

private:
    duration interval(std::size_t members);

    duration const old_view_age_;
    duration const round_;
    random_source& random_;
    std::mutex mutex_;
    time_point next_read_{};          // guarded by mutex_
    unsigned unsuccessful_reads_ = 0; // consecutive, guarded by mutex_
};

} // namespace kumquatramp

#endif
