// Event counts of one service in a ring of time slices.
#ifndef KUMQUATRAMP_BURN_DETAILS_SLICE_RING_HPP
#define KUMQUATRAMP_BURN_DETAILS_SLICE_RING_HPP

#include <base/time.hpp>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <burn/burn_counts.hpp>
#include <burn/burn_window.hpp>
#include <cstdint>
#include <vector>

namespace kumquatramp
{

/// Boost accumulators cannot remove samples, so a sliding window is composed of
/// slices with one accumulator each. A slice is reset when its slot in the ring
/// is reused. Not safe for concurrent use.
class slice_ring
{
public:
    static constexpr duration slice_length = std::chrono::minutes(1);

    slice_ring();

    /// Counts an event; one older than the latest slice is counted in the
    /// latest slice.
    void record(bool good, time_point now);

    /// Sums the slices within (now - begin_age, now - end_age]; the current
    /// slice has age 0.
    burn_counts sum(duration begin_age, duration end_age, time_point now) const;

private:
    using bad_events = boost::accumulators::accumulator_set<
        std::uint32_t,
        boost::accumulators::stats<boost::accumulators::tag::count,
                                   boost::accumulators::tag::sum>>;

    struct slice
    {
        std::int64_t number = -1; // in units of slice_length since time 0
        bad_events events;        // 1 for a bad event, 0 for a good one
    };

    static std::int64_t slice_number(time_point now) noexcept;

    std::vector<slice> slices_;
    std::int64_t latest_ = 0; // number of the newest slice
};

} // namespace kumquatramp

#endif
