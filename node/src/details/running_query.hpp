// State of a caller's request while it is being served.
#ifndef KUMQUATRAMP_NODE_DETAILS_RUNNING_QUERY_HPP
#define KUMQUATRAMP_NODE_DETAILS_RUNNING_QUERY_HPP

#include "details/grant_client.hpp"
#include <algorithm>
#include <memory>
#include <node/caller_request.hpp>
#include <optional>
#include <query/answer_set.hpp>
#include <routing/service_route.hpp>
#include <string>
#include <vector>

namespace kumquatramp
{

class service_runtime;

/// An attempt that has no reply yet.
struct open_attempt
{
    std::uint32_t number = 0;
    replica_ptr target;
    time_point started;     ///< when its permit was acquired; once sent, when
                            ///< may_send() permitted it
    bool permitted = false; ///< may_send() returned true
    bool hedge = false;
    std::optional<held_grant> grant; ///< set if sent under a grant, in which
                                     ///< case the steward holds the permit
};

/// Progress of one shard's sub-request.
struct shard_progress
{
    std::vector<open_attempt> open;
    std::vector<target_name> excluded; ///< targets not to be used again
    bool waiting = false;              ///< in the shard's queue
    bool hedged = false;
    bool budget_credited = false; ///< first send credited to the budgets
    bool given_up = false;        ///< no further attempt will be made

    bool has_open_attempt(target_name const& target) const
    {
        return std::any_of(open.begin(), open.end(),
                           [&](auto const& attempt)
                           { return attempt.target->entry.name == target; });
    }
};

/// Guarded by the lock of its stripe in the query_registry.
struct running_query
{
    caller_request request;
    std::shared_ptr<service_runtime> service;
    std::shared_ptr<service_route const> route; ///< as of admission
    std::uint64_t map = 0;                      ///< map version in use
    time_point started;
    time_point deadline;
    answer_set answers{0, {}};

    /// Progress of shards first_shard, first_shard + 1, ...
    std::uint32_t first_shard = 0;
    std::vector<shard_progress> shards;

    std::string request_id; ///< text form, for non-idempotent requests
    std::uint32_t next_attempt = 0;
    std::uint32_t sends = 0;
    std::uint32_t hedges = 0;
    std::uint32_t snapshot_switches = 0; ///< times the snapshot was replaced
    bool partial_allowed = false; ///< the straggler wait is over: answer as
                                  ///< soon as coverage is sufficient
    bool answered = false; ///< the caller has its answer; only replies are
                           ///< outstanding

    bool non_idempotent() const noexcept { return request.once.has_value(); }

    shard_progress& progress(shard_index shard)
    {
        return shards[shard.value() - first_shard];
    }

    /// Whether the shard is one of those in `shards`.
    bool covers(shard_index shard) const
    {
        return shard.value() >= first_shard &&
               shard.value() - first_shard < shards.size();
    }

    /// Whether no attempt is open.
    bool idle() const
    {
        return std::all_of(shards.begin(), shards.end(),
                           [](auto const& s) { return s.open.empty(); });
    }
};

} // namespace kumquatramp

#endif
