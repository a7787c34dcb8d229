// Budget for hedges and retries, as a ratio of the regular traffic.
#ifndef KUMQUATRAMP_LIMITS_RATIO_BUDGET_HPP
#define KUMQUATRAMP_LIMITS_RATIO_BUDGET_HPP

#include <base/time.hpp>
#include <mutex>

namespace kumquatramp
{

/// Each first attempt adds `ratio` to the balance; each extra attempt (hedge or
/// retry) costs 1. The balance is capped, so that credit from quiet periods
/// cannot fund a burst of extra attempts. Thread-safe.
class ratio_budget
{
public:
    /// `cap` is the largest balance, in attempts; values below 1 count as 1.
    ratio_budget(double ratio, double cap);

    void set_ratio(double ratio);

    /// Credits one first attempt.
    void earn();

    /// Deducts the cost of one extra attempt; returns false if the balance is
    /// below 1.
    bool spend();

private:
    std::mutex mutex_;
    double ratio_;   // guarded by mutex_
    double cap_;     // guarded by mutex_
    double balance_; // guarded by mutex_; 0 <= balance_ <= cap_
};

} // namespace kumquatramp

#endif
