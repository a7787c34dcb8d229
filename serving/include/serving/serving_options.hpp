// Bounds that the fleet keeps and the policy's own figures.
#ifndef KUMQUATRAMP_SERVING_SERVING_OPTIONS_HPP
#define KUMQUATRAMP_SERVING_SERVING_OPTIONS_HPP

#include <base/time.hpp>

namespace kumquatramp::serving
{

struct serving_options
{
    /// Extra sends per window, over the fleet: from the deployment's settings.
    double retry_ratio = 0.2;
    double retry_slack = 0;
    duration retry_window = 10s;
    /// When this host started.
    time_point started{};

    /// Time kept back from a latency objective for the way to the client: two
    /// network delays and the host's own work.
    duration answer_margin = 14ms;

    /// Retry-After of a refusal for want of room: about one service time.
    duration busy_retry_after = 150ms;
    /// Retry-After while this host knows no configuration or no target: about
    /// twice the time that a host takes from its start to its first listing.
    duration unready_retry_after = 250ms;

    /// Sends of one request to a shard, repeats to a refusing target included.
    int max_sends = 4;

    /// Share of the well-served requests that are told in the log.
    double told_share = 0.01;

    /// Requests in progress on this host; bounds memory under overload.
    std::size_t max_in_progress = 2000;
};

} // namespace kumquatramp::serving

#endif
