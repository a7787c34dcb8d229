// The budget for sends beyond the first of each request, per service.
#ifndef KUMQUATRAMP_SERVING_RETRY_BUDGET_HPP
#define KUMQUATRAMP_SERVING_RETRY_BUDGET_HPP

#include <array>
#include <base/time.hpp>
#include <cstdint>

namespace kumquatramp::serving
{

/// This host's share of a bound that the whole fleet keeps: in each sliding
/// window at most ratio x requests + slack extra sends. The ratio part needs
/// no agreement, since every host holds it over its own requests; the slack
/// is divided by the number of hosts.
class retry_budget
{
public:
    /// Who asks: a certain failure may use all of it, a hedge leaves a part.
    enum class use
    {
        hedge,
        retry,
    };

    /// `started` is the start of this host: an earlier life of it may have
    /// spent its share, so for one window there is no slack and half the
    /// ratio.
    void configure(double ratio, double slack, duration window,
                   time_point started);

    void count_request(time_point now);

    /// Takes one send if the budget has it. `hosts` is at least 1.
    bool spend(use purpose, int hosts, time_point now);

    /// Sends left for this purpose.
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
    double bound(int hosts, time_point now);
    /// Extra sends of the last so many whole slices and the present one.
    double spent(int slices, time_point now);

    double ratio_ = 0;
    double slack_ = 0;
    duration slice_length_ = 1s;
    time_point slack_from_{};
    std::array<slice, slice_count> slices_{};
};

} // namespace kumquatramp::serving

#endif
