// Budget for extra attempts, credited by first attempts.
#include <algorithm>
#include <limits/ratio_budget.hpp>

namespace kumquatramp
{

ratio_budget::ratio_budget(double ratio, double cap)
    : ratio_(std::max(ratio, 0.0))
    , cap_(std::max(cap, 1.0))
    , balance_(0)
{
}

void ratio_budget::set_ratio(double ratio)
{
    std::lock_guard const guard(mutex_);
    ratio_ = std::max(ratio, 0.0);
}

void ratio_budget::earn()
{
    std::lock_guard const guard(mutex_);
    balance_ = std::min(balance_ + ratio_, cap_);
}

bool ratio_budget::spend()
{
    std::lock_guard const guard(mutex_);
    if (balance_ < 1)
    {
        return false;
    }
    balance_ -= 1;
    return true;
}

} // namespace kumquatramp
