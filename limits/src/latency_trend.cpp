// Latency smoothing, and the slowly rising baseline.
#include <algorithm>
#include <limits/latency_trend.hpp>

namespace kumquatramp
{
namespace
{

/// A sample has a weight of 1 / smoothing_divisor.
constexpr int smoothing_divisor = 8;

/// A sample is capped at this multiple of the smoothed latency.
constexpr int max_sample_ratio = 4;

/// Answers are slow above this multiple of the baseline.
constexpr int slow_factor = 2;

/// The baseline equals the smoothed latency for this many initial samples.
constexpr std::uint32_t initial_samples = 16;

/// Time in which the baseline adapts to a lasting increase.
constexpr duration baseline_rise_time = 20s;

} // namespace

void latency_trend::record(duration latency, time_point now)
{
    if (smoothed_ == duration{0})
    {
        smoothed_ = baseline_ = std::max(latency, duration{1});
        updated_ = now;
        return;
    }
    auto const sample = std::min(latency, smoothed_ * max_sample_ratio);
    smoothed_ += (sample - smoothed_) / smoothing_divisor;
    smoothed_ = std::max(smoothed_, duration{1});
    auto const passed = std::clamp(now - updated_, duration{0},
                                   baseline_rise_time / smoothing_divisor);
    updated_ = std::max(updated_, now);
    std::chrono::duration<double> const share = passed;
    std::chrono::duration<double> const whole = baseline_rise_time;
    auto const rise = (smoothed_ - baseline_) * (share / whole);
    baseline_ += std::chrono::duration_cast<duration>(rise);
    if (samples_ < initial_samples)
    {
        ++samples_;
        baseline_ = smoothed_;
    }
    baseline_ = std::min(baseline_, smoothed_);
}

void latency_trend::record_unanswered(duration waited, time_point now)
{
    if (smoothed_ != duration{0} && waited > smoothed_)
    {
        record(waited, now);
    }
}

bool latency_trend::slow() const
{
    return smoothed_ > baseline_ * slow_factor;
}

} // namespace kumquatramp
