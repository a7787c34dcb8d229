// Smoothed latency of one target, and its recent baseline.
#ifndef KUMQUATRAMP_LIMITS_LATENCY_TREND_HPP
#define KUMQUATRAMP_LIMITS_LATENCY_TREND_HPP

#include <base/time.hpp>
#include <cstdint>

namespace kumquatramp
{

/// Exponentially smoothed latency, and a baseline that follows it down
/// immediately and up slowly. One sample changes the smoothed value by a
/// bounded factor, so that a latency measured across a pause of this process
/// has no lasting effect. Not thread-safe.
class latency_trend
{
public:
    /// Records the latency of a complete answer.
    void record(duration latency, time_point now);

    /// Records the time waited for an answer that did not arrive. It counts
    /// only if it exceeds the smoothed latency; a shorter wait carries no
    /// information.
    void record_unanswered(duration waited, time_point now);

    /// The smoothed latency; 0 if there was no sample.
    duration smoothed() const { return smoothed_; }

    /// Whether answers are slow compared with the baseline.
    bool slow() const;

private:
    duration smoothed_{0};
    duration baseline_{0}; // <= smoothed_
    time_point updated_{};
    std::uint32_t samples_ = 0; // counted up to initial_samples
};

} // namespace kumquatramp

#endif
