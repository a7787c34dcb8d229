// Quantiles of recent latencies.
#ifndef KUMQUATRAMP_LIMITS_LATENCY_WINDOW_HPP
#define KUMQUATRAMP_LIMITS_LATENCY_WINDOW_HPP

#include <base/time.hpp>
#include <cstdint>
#include <memory>
#include <mutex>

namespace kumquatramp
{

/// Keeps the latencies of the last one to two slices in rotating accumulators
/// of constant size. Thread-safe.
class latency_window
{
public:
    /// `slice` is the time after which the accumulators rotate.
    explicit latency_window(duration slice);
    ~latency_window();

    void record(duration latency, time_point now);

    /// The latency below which the fraction `p` of samples lies, 0 <= p < 1; 0
    /// if there are fewer than min_samples.
    duration quantile(double p, time_point now) const;

    static constexpr std::uint32_t min_samples = 20;

private:
    struct state;
    mutable std::mutex mutex_;
    std::unique_ptr<state> state_; // guarded by mutex_
};

} // namespace kumquatramp

#endif
