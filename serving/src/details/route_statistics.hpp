// Statistics of a route, kept across configuration changes.
#ifndef KUMQUATRAMP_SERVING_DETAILS_ROUTE_STATISTICS_HPP
#define KUMQUATRAMP_SERVING_DETAILS_ROUTE_STATISTICS_HPP

#include <serving/latency_estimate.hpp>

namespace kumquatramp::serving
{

class route_statistics
{
public:
    explicit route_statistics(duration objective)
        : latency(objective)
    {
    }

    latency_estimate latency;

    /// Returns the time that the client has already spent on earlier attempts
    /// and updates the estimate. On a route the clients' first attempts all
    /// announce the same time limit, and repeats announce what remains of it,
    /// so the difference from the most frequent value is the time spent.
    duration estimate_spent_time(duration time_left)
    {
        if (time_left == usual_time_)
        {
            ++votes_;
        }
        else if (votes_ == 0)
        {
            usual_time_ = time_left;
            votes_ = 1;
        }
        else
        {
            --votes_;
        }
        return time_left < usual_time_ ? usual_time_ - time_left
                                       : duration::zero();
    }

private:
    // Majority vote (Boyer-Moore) over the announced times.
    duration usual_time_{};
    int votes_ = 0;
};

} // namespace kumquatramp::serving

#endif
