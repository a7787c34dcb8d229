// Options of the request engine.
#ifndef KUMQUATRAMP_SERVING_SERVING_OPTIONS_HPP
#define KUMQUATRAMP_SERVING_SERVING_OPTIONS_HPP

#include <base/time.hpp>

namespace kumquatramp::serving
{

struct serving_options
{
    /// Limit on extra sends per window, over the fleet (see retry_budget); from
    /// the settings of the deployment.
    double retry_ratio = 0.2;
    double retry_slack = 0;
    duration retry_window = 10s;
    /// Start time of this host; reduces the retry budget of the first window.
    time_point started{};

    /// Time reserved within the latency objective for the answer to reach the
    /// client: two network delays and the host's own processing.
    duration answer_margin = 14ms;

    /// Retry-After when this host has too many requests in progress or when it
    /// is certain that no target executed the request: about one service time.
    duration busy_retry_after = 150ms;
    /// Retry-After while this host has no configuration or no target: about
    /// twice the time from the start of a host to its first complete listing.
    duration unready_retry_after = 250ms;

    /// Maximum sends of one request to a shard, including repeats to a target
    /// that refused it.
    int max_sends = 4;

    /// Share of the completely answered, timely requests that are logged.
    double told_share = 0.01;

    /// Maximum requests in progress on this host; bounds memory under overload.
    std::size_t max_in_progress = 2000;
};

} // namespace kumquatramp::serving

#endif
