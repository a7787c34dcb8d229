// Token bucket that limits the request rate of one caller.
#ifndef KUMQUATRAMP_LIMITS_DETAILS_TOKEN_BUCKET_HPP
#define KUMQUATRAMP_LIMITS_DETAILS_TOKEN_BUCKET_HPP

#include <algorithm>
#include <base/time.hpp>

namespace kumquatramp
{

/// Holds the tokens of one second, but at least one; starts full.
class token_bucket
{
public:
    /// Takes one token if available; `rate` is in tokens per second.
    bool take(double rate, time_point now)
    {
        double const burst = std::max(rate, 1.0);
        if (refilled_at_ == never)
        {
            tokens_ = burst;
            refilled_at_ = now;
        }
        std::chrono::duration<double> const passed = now - refilled_at_;
        double const refill = std::max(passed.count(), 0.0) * rate;
        tokens_ = std::min(tokens_ + refill, burst);
        refilled_at_ = std::max(refilled_at_, now);
        full_at_ = refilled_at_ + time_to_fill(burst, rate);
        if (tokens_ < 1)
        {
            return false;
        }
        tokens_ -= 1;
        full_at_ = refilled_at_ + time_to_fill(burst, rate);
        return true;
    }

    /// Whether the bucket is full, and so equivalent to a new one.
    bool full(time_point now) const { return now >= full_at_; }

private:
    static constexpr double max_fill_seconds = 3600;

    duration time_to_fill(double burst, double rate) const
    {
        double const min_rate = 1 / max_fill_seconds;
        double const wait = (burst - tokens_) / std::max(rate, min_rate);
        return std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(wait));
    }

    double tokens_ = 0;
    time_point refilled_at_ = never; // never: not yet used
    time_point full_at_{};
};

} // namespace kumquatramp

#endif
