// What is learned about a route while it serves; outlives configurations.
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

    /// Learns from the waiting times that clients announce and gives the time
    /// that this client has already spent on earlier attempts: first attempts
    /// of a kind all announce the same time, repeats announce what is left.
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
    // Majority vote over announced times.
    duration usual_time_{};
    int votes_ = 0;
};

} // namespace kumquatramp::serving

#endif
