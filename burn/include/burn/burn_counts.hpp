// Numbers of good and bad events of a service.
#ifndef KUMQUATRAMP_BURN_BURN_COUNTS_HPP
#define KUMQUATRAMP_BURN_BURN_COUNTS_HPP

#include <cstdint>

namespace kumquatramp
{

/// An event is one request of a caller. It is good if the caller got the
/// complete answer on time. The fleet's counts are the sums over its hosts.
struct burn_counts
{
    std::uint64_t good = 0;
    std::uint64_t bad = 0;

    burn_counts& operator+=(burn_counts const& other) noexcept
    {
        good += other.good;
        bad += other.bad;
        return *this;
    }

    std::uint64_t total() const noexcept { return good + bad; }

    /// Share of bad events; 0 if there are no events.
    double bad_share() const noexcept
    {
        return total() == 0
                   ? 0.0
                   : static_cast<double>(bad) / static_cast<double>(total());
    }

    friend bool operator==(burn_counts const&, burn_counts const&) = default;
};

} // namespace kumquatramp

#endif
