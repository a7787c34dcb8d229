// Latency quantiles over one to two time slices, with Boost.Accumulators.
#include <algorithm>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/tail_quantile.hpp>
#include <limits/latency_window.hpp>

namespace kumquatramp
{
namespace
{

namespace acc = boost::accumulators;

/// Number of largest samples kept. A quantile is exact if it lies within them;
/// a lower one is replaced by the smallest sample kept.
constexpr std::size_t tail_size = 256;

/// A slice ends early at this many samples, so that the samples kept reach down
/// to the 87th percentile.
constexpr std::size_t slice_samples = 1024;

/// A cached quantile is recomputed after this fraction of a slice, or once the
/// number of samples has grown by this fraction.
constexpr int refresh_divisor = 16;

using tail_accumulator =
    acc::accumulator_set<std::int64_t,
                         acc::stats<acc::tag::tail_quantile<acc::right>>>;

tail_accumulator empty_tail()
{
    return tail_accumulator(acc::tag::tail<acc::right>::cache_size = tail_size);
}

duration quantile_of(tail_accumulator const& samples, double p)
{
    auto const count = double(acc::count(samples));
    auto const kept = std::min(count, double(tail_size));
    // The library accepts ranks 1 to kept - 1, counted from the largest sample;
    // the half rank protects against rounding.
    auto const lowest = 1 - (kept - 1.5) / count;
    auto const highest = 1 - 0.5 / count;
    auto const inner = std::clamp(p, lowest, highest);
    auto const at = acc::quantile(samples, acc::quantile_probability = inner);
    return duration(at);
}

} // namespace

/// Every sample is added to both accumulators. Quantiles are read from the
/// older one; when a slice ends, the younger one replaces it.
struct latency_window::state
{
    explicit state(duration length)
        : slice(std::max(length, duration{1}))
    {
    }

    void advance(time_point now)
    {
        if (now - started >= 2 * slice)
        {
            rotate(now);
            rotate(now);
        }
        else if (now - started >= slice || acc::count(younger) >= slice_samples)
        {
            rotate(now);
        }
    }

    void rotate(time_point now)
    {
        older = std::move(younger);
        younger = empty_tail();
        started = now;
        cached_count = 0;
    }

    bool stale(double p, time_point now) const
    {
        auto const count = acc::count(older);
        return cached_count == 0 || cached_p != p ||
               count > cached_count + cached_count / refresh_divisor ||
               now - cached_at >= slice / refresh_divisor;
    }

    duration const slice;
    time_point started{};
    tail_accumulator older = empty_tail();
    tail_accumulator younger = empty_tail();
    double cached_p = 0;
    duration cached{0};           // quantile cached_p at cached_at
    std::size_t cached_count = 0; // samples then; 0: nothing is cached
    time_point cached_at{};
};

latency_window::latency_window(duration slice)
    : state_(std::make_unique<state>(slice))
{
}

latency_window::~latency_window() = default;

void latency_window::record(duration latency, time_point now)
{
    std::lock_guard const guard(mutex_);
    state_->advance(now);
    state_->older(latency.count());
    state_->younger(latency.count());
}

duration latency_window::quantile(double p, time_point now) const
{
    std::lock_guard const guard(mutex_);
    state_->advance(now);
    auto const count = acc::count(state_->older);
    if (count < min_samples)
    {
        return duration{0};
    }
    if (state_->stale(p, now))
    {
        state_->cached = quantile_of(state_->older, p);
        state_->cached_p = p;
        state_->cached_count = count;
        state_->cached_at = now;
    }
    return state_->cached;
}

} // namespace kumquatramp
