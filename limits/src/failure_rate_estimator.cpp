// Exponentially weighted failure rate with decay over time.
#include <algorithm>
#include <cmath>
#include <limits/failure_rate_estimator.hpp>

namespace kumquatramp
{

namespace
{

constexpr double newest_weight = 1.0 / 8;

} // namespace

void failure_rate_estimator::record(bool failed, time_point now)
{
    rate_ = rate_at(now) * (1 - newest_weight) + (failed ? newest_weight : 0.0);
    last_record_ = std::max(last_record_, now);
}

double failure_rate_estimator::rate_at(time_point now) const
{
    auto const passed =
        static_cast<double>(std::max(now - last_record_, duration{0}).count());
    return rate_ * std::exp2(-passed / static_cast<double>(half_life.count()));
}

} // namespace kumquatramp
