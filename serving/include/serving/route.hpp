// A route: which requests it matches and how they are served.
#ifndef KUMQUATRAMP_SERVING_ROUTE_HPP
#define KUMQUATRAMP_SERVING_ROUTE_HPP

#include <base/time.hpp>
#include <string>
#include <vector>

namespace kumquatramp::serving
{

/// One service of a weighted traffic split.
struct split_part
{
    std::string service;
    double weight = 1.0;

    bool operator==(split_part const&) const = default;
};

/// A route as the operator configured it. A request goes to one of the services
/// of `split` or to all `shards`; at most one of the two is non-empty.
struct route
{
    std::string name;
    std::string host;
    std::string prefix; ///< begins and ends with a slash
    bool idempotent = false;
    duration timeout{};           ///< from arrival to the final answer
    duration latency_objective{}; ///< later answers count as degraded
    int priority = 0;             ///< 0 is the highest
    int max_attempts = 1;         ///< maximum targets per request and shard
    std::vector<split_part> split;
    std::vector<std::string> shards;
    int top_records = 0;       ///< maximum records of a merged answer
    double min_coverage = 1.0; ///< least share of shards for success

    bool scatters() const { return !shards.empty(); }
    /// Its destination could not be read: requests on it are refused.
    bool unusable() const { return split.empty() && shards.empty(); }
    bool operator==(route const&) const = default;
};

} // namespace kumquatramp::serving

#endif
