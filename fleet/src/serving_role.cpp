// Transitions between serving, withdrawing and standby.
#include <algorithm>
#include <fleet/serving_role.hpp>

namespace kumquatramp::fleet
{

namespace
{

/// Time outside the serving set before a host withdraws: longer than the
/// restart of another host takes.
constexpr duration withdrawal_delay = 15s;
/// Time without requests, since the withdrawal at the earliest, before a host
/// goes on standby: longer than clients keep a directory answer.
constexpr duration quiet_before_standby = 7s;

} // namespace

serving_role::phase serving_role::update(bool in_serving_set,
                                         std::uint64_t requests, time_point now)
{
    if (requests != requests_)
    {
        requests_ = requests;
        last_request_ = now;
    }
    if (in_serving_set)
    {
        last_in_set_ = now;
        current_ = phase::serving;
    }
    else if (current_ == phase::serving &&
             now - last_in_set_ >= withdrawal_delay)
    {
        current_ = phase::withdrawing;
    }
    else if (current_ == phase::withdrawing &&
             now - std::max(last_in_set_ + withdrawal_delay, last_request_) >=
                 quiet_before_standby)
    {
        current_ = phase::standby;
    }
    return current_;
}

} // namespace kumquatramp::fleet
