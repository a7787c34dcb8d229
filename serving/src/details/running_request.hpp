// State of a request in progress, with its attempts by shard.
#ifndef KUMQUATRAMP_SERVING_DETAILS_RUNNING_REQUEST_HPP
#define KUMQUATRAMP_SERVING_DETAILS_RUNNING_REQUEST_HPP

#include <algorithm>
#include <base/time.hpp>
#include <memory>
#include <serving/engine_port.hpp>
#include <serving/request_type.hpp>
#include <serving/route_catalogue.hpp>
#include <serving/target.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace kumquatramp::serving
{

/// Outcome of a send to one target.
enum class try_state
{
    sent,    ///< in flight, answered or broken: may have been executed
    refused, ///< the target states that it did not execute it
    unsent,  ///< no byte left this host
};

struct target_try
{
    std::shared_ptr<target> to{};
    try_state state = try_state::sent;
    /// Those that delivered a refusal; later sends must not use them.
    std::vector<connection_id> refused_on{};
};

/// One shard of a scatter-gather query, or the service of a plain request.
struct shard_progress
{
    enum class state
    {
        waiting,
        answered,
        deferred, ///< nothing is sent while the request can succeed without it
        lost,     ///< failed: nothing more is sent
    };

    std::string_view service; // owned by the request's catalogue
    state current_state = state::waiting;
    std::vector<target_try> tries{};
    int sends = 0;
    /// Earliest time of the next send of a shard that was deferred after a
    /// send; time_point{} if that has not happened.
    time_point resend_at{};
    int outstanding = 0;
    int overdue = 0; ///< of the outstanding attempts; <= outstanding
    bool may_have_run = false;
    std::string stamp{};
    std::string part{};
    char const* cause = ""; ///< of the last failed send
    int status = 0;         ///< of the last failed send

    /// Whether all of its outstanding attempts are overdue.
    bool late() const
    {
        return current_state == state::waiting && outstanding > 0 &&
               outstanding == overdue;
    }

    /// Number of targets that the request was sent to.
    int targets_used() const
    {
        return static_cast<int>(std::count_if(
            tries.begin(), tries.end(),
            [](target_try const& t) { return t.state != try_state::unsent; }));
    }
};

struct running_request
{
    /// Estimate of the memory of one shard's progress, tries and attempts.
    static constexpr std::size_t shard_bytes = sizeof(shard_progress) + 512;

    request_handle handle = 0;
    std::shared_ptr<route_catalogue const> catalogue;
    route const* matched_route = nullptr; // owned by catalogue
    time_point arrived{};
    time_point partial_answer_at{}; ///< earliest time of a partial answer
    time_point deadline = never;
    bool finished = false; ///< answered, or the client disconnected
    int outstanding = 0;   ///< attempts that have not ended
    std::vector<shard_progress> shards;
    std::size_t held_bytes = 0; ///< see request_engine::held_bytes

    request_type type() const
    {
        return matched_route->scatters()   ? request_type::query
               : matched_route->idempotent ? request_type::repeatable
                                           : request_type::once;
    }

    int count(shard_progress::state state) const
    {
        return static_cast<int>(std::count_if(
            shards.begin(), shards.end(),
            [=](shard_progress const& s) { return s.current_state == state; }));
    }

    /// Shards that have answered or are expected to answer in time.
    int expected() const
    {
        return static_cast<int>(std::count_if(
            shards.begin(), shards.end(),
            [](shard_progress const& s)
            {
                return s.current_state == shard_progress::state::answered ||
                       (s.current_state == shard_progress::state::waiting &&
                        !s.late());
            }));
    }

    bool may_have_run() const
    {
        return std::any_of(shards.begin(), shards.end(),
                           [](shard_progress const& s)
                           { return s.may_have_run; });
    }
};

/// One send of a request.
struct running_attempt
{
    request_handle request = 0;
    std::size_t shard = 0;
    std::shared_ptr<target> to{};
    time_point started{};
    time_point deadline = never;
    bool overdue = false;   ///< counted in to->overdue
    bool abandoned = false; ///< cancelled by this host
};

} // namespace kumquatramp::serving

#endif
