// Summary of one request, logged at its end.
#ifndef KUMQUATRAMP_SERVING_REQUEST_SUMMARY_HPP
#define KUMQUATRAMP_SERVING_REQUEST_SUMMARY_HPP

#include <base/time.hpp>
#include <cstdint>
#include <string>
#include <string_view>

namespace kumquatramp::serving
{

enum class summary_kind
{
    served,   ///< complete and within the objective; a sample is logged
    degraded, ///< answered late or partially
    failed,   ///< not answered successfully
};

struct request_summary
{
    summary_kind kind = summary_kind::failed;
    std::string_view outcome;  ///< static text; listed in docs/OPERATIONS.md
    std::string_view route;    ///< empty if none matched
    std::uint64_t version = 0; ///< of the configuration applied; 0: none
    /// Time since the registry last confirmed that the configuration is the
    /// newest.
    duration version_age{};
    duration took{};
    int shards = 0;
    int missing = 0;     ///< shards without a part in the answer
    std::string details; ///< shards without answer or with several sends
};

} // namespace kumquatramp::serving

#endif
