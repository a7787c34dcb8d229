// What was decided on one request, told once at its end.
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
    served,   ///< whole and within its objective; only a sample is told
    degraded, ///< answered late or in part
    failed,   ///< not answered with a success
};

struct request_summary
{
    summary_kind kind = summary_kind::failed;
    std::string_view outcome;  ///< static text; docs/OPERATIONS.md lists all
    std::string_view route;    ///< empty if none was found
    std::uint64_t version = 0; ///< of the configuration that decided; 0: none
    duration took{};
    int shards = 0;
    int missing = 0;     ///< shards without a part in the answer
    std::string details; ///< each shard that is not plainly answered
};

} // namespace kumquatramp::serving

#endif
