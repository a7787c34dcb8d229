// Latency quantiles over two time windows, computed by Boost.Accumulators.
#include <details/latency_accumulator.hpp>

namespace kumquatramp
{

namespace
{

namespace acc = boost::accumulators;

constexpr duration window = 30s;
constexpr std::size_t tail_cache_size = 2048;

} // namespace

latency_accumulator::latency_accumulator()
    : current_(empty_set())
    , previous_(empty_set())
{
}

latency_accumulator::sample_set latency_accumulator::empty_set()
{
    return sample_set(acc::quantile_probability = 0.5,
                      acc::tag::tail<acc::right>::cache_size = tail_cache_size);
}

void latency_accumulator::rotate(time_point now)
{
    if (now - started_ < window)
    {
        return;
    }
    previous_ = now - started_ < 2 * window ? current_ : empty_set();
    current_ = empty_set();
    started_ = now;
}

void latency_accumulator::record(duration latency, time_point now)
{
    rotate(now);
    current_(std::chrono::duration<double>(latency).count());
}

latency_accumulator::sample_set const*
latency_accumulator::larger_window(time_point now) const
{
    bool const previous_is_recent = now - started_ < window;
    auto const* const best =
        previous_is_recent && acc::count(previous_) > acc::count(current_)
            ? &previous_
            : &current_;
    bool const has_recent_samples = now - started_ < 2 * window;
    return has_recent_samples && acc::count(*best) > 0 ? best : nullptr;
}

std::optional<double> latency_accumulator::tail_seconds(double p,
                                                        time_point now) const
{
    auto const* const samples = larger_window(now);
    if (samples == nullptr)
    {
        return std::nullopt;
    }
    return acc::quantile(*samples, acc::quantile_probability = p);
}

std::optional<double> latency_accumulator::median_seconds(time_point now) const
{
    auto const* const samples = larger_window(now);
    if (samples == nullptr)
    {
        return std::nullopt;
    }
    return acc::p_square_quantile(*samples);
}

} // namespace kumquatramp
