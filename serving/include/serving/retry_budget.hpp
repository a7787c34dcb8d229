// Budget for retries and hedges of a service.
#ifndef KUMQUATRAMP_SERVING_RETRY_BUDGET_HPP
#define KUMQUATRAMP_SERVING_RETRY_BUDGET_HPP

#include <array>
#include <base/time.hpp>
#include <cstdint>

namespace kumquatramp::serving
{

/// This host's share of a fleet-wide limit: in each sliding window at most
/// ratio x requests + slack extra sends (sends beyond the first of a request).
/// The ratio part needs no coordination, since each host applies it to its own
/// requests; the slack is divided by the number of hosts.
class retry_budget
{
public:
    /// Purpose of an extra send. Retries may use the whole budget; hedges only
    /// a share of it.
    enum class use
    {
        hedge,
        retry,
    };

    /// `started` is the start time of this host. Its previous process may have
    /// spent the share, so for about one window the slack is 0 and the ratio is
    /// halved.
    void configure(double ratio, double slack, duration window,
                   time_point started);

    void count_request(time_point now);

    /// Takes one send from the budget; false if it is exhausted. `hosts` is the
    /// size of the fleet, at least 1.
    bool spend(use purpose, int hosts, time_point now);

    /// Remaining sends for this purpose.
    double left(use purpose, int hosts, time_point now);

    /// Whether most of the budget is spent.
    bool mostly_spent(int hosts, time_point now);

private:
    struct slice
    {
        std::int64_t index = -1;
        int requests = 0;
        int extras = 0;
    };
    static constexpr int slice_count = 12;

    slice& slice_at(time_point now);
    /// Limit on extra sends in the current window.
    double bound(int hosts, time_point now);
    /// Extra sends in the current slice and the given number before it.
    double spent(int slices, time_point now);

    double ratio_ = 0;
    double slack_ = 0;
    duration slice_length_ = 1s;
    time_point slack_from_{}; ///< before: no slack and reduced ratio
    std::array<slice, slice_count> slices_{};
};

} // namespace kumquatramp::serving

#endif
