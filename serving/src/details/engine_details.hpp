// State and internal operations of the request engine.
#ifndef KUMQUATRAMP_SERVING_DETAILS_ENGINE_DETAILS_HPP
#define KUMQUATRAMP_SERVING_DETAILS_ENGINE_DETAILS_HPP

#include "details/route_statistics.hpp"
#include "details/running_request.hpp"
#include "details/timer_queue.hpp"
#include <base/error_kind.hpp>
#include <map>
#include <serving/request_engine.hpp>
#include <serving/request_summary.hpp>
#include <serving/retry_budget.hpp>
#include <unordered_map>

namespace kumquatramp::serving
{

class request_engine::details
{
public:
    details(serving_options options, random_source& random, target_table& table,
            fleet_size const& fleet, warmup_share& warmup, engine_port& port);

    void submit(client_request const& request, time_point now);
    void client_gone(request_handle request, time_point now);
    void on_reply(attempt_handle attempt, target_reply& reply, time_point now);
    bool may_send(attempt_handle attempt, time_point now) const;
    void tick(time_point now);
    void set_options(serving_options const& options);
    void end_by(time_point end);

    std::optional<double> least_budget_left(time_point now);

    std::shared_ptr<route_catalogue const> catalogue_;
    std::uint64_t newest_version_ = 0; ///< ever in force; never decreases
    time_point confirmed_at_{};        ///< last confirm_catalogue
    engine_counters counters_;
    serving_options options_;
    time_point end_at_ = never; ///< no request's deadline is later
    timer_queue timers_;
    std::unordered_map<request_handle, running_request> requests_;
    std::size_t held_bytes_ = 0; ///< sum over requests_

private:
    using shard_state = shard_progress::state;

    /// `min_retry_after` is the least time after which a return is useful.
    void refuse(request_handle request, request_type type, error_kind error,
                duration min_retry_after = duration::zero());
    /// Ends a request for which no route was looked up or found.
    void refuse_unadmitted(request_handle request, error_kind error,
                           time_point now);
    /// Ends a request of which nothing was sent.
    void refuse_unsent(running_request const& r, error_kind error,
                       time_point now,
                       duration min_retry_after = duration::zero());
    void admit(client_request const& request, route const& matched_route,
               time_point now);
    std::string const& choose_service(route const& matched_route);

    /// Sends to a further target, or again to one that refused. Returns false
    /// if there is none, or if the shard is skipped and hence deferred.
    bool send(running_request& r, std::size_t shard, bool for_hedge,
              time_point now);
    std::shared_ptr<target> choose(running_request& r, shard_progress& s,
                                   bool for_hedge, time_point now);
    /// Whether to skip a shard for now: the request can succeed without it, and
    /// its best target is full and does not admit this send (a random
    /// decision).
    bool should_skip_shard(running_request const& r, shard_progress const& s,
                           target const& t);
    /// Whether the request can succeed without one more of its shards.
    bool can_skip_shard(running_request const& r) const;
    /// The target with the lowest failure share among those that refused the
    /// request and may be asked again, or null.
    std::shared_ptr<target> best_refused_target(shard_progress const& s,
                                                time_point now) const;
    /// best_refused_target() if its warm-up share allows a send.
    std::shared_ptr<target> choose_refused(running_request const& r,
                                           shard_progress const& s,
                                           time_point now);
    /// Time until this host may send to the target by the limit that it states.
    duration rate_limit_wait(target const& t, time_point now) const;
    fleet_place place_for(target const& t, time_point now) const;
    /// Time until a target of the service may receive a request; zero if one
    /// may now, `duration::max()` if that is unknown.
    duration service_wait(std::string_view service, time_point now) const;
    /// Least Retry-After of a request that must wait this long.
    static duration retry_after(duration wait);
    /// Time until enough shards of the request have a target that may receive
    /// it.
    duration coverage_wait(running_request const& r, time_point now) const;
    /// For a cold target, takes one send from this host's warm-up share; false
    /// if none is left. Always true for other targets and for services without
    /// a warm-up rate.
    bool spend_warmup_share(target const& t, running_request const& r,
                            time_point now);
    /// Connections that this host may hold to the target.
    int connection_limit(running_request const& r, target const& t,
                         time_point now) const;

    /// Updates the target's state and the route's latency from a reply. `r` is
    /// null if the request is no longer known.
    void update_statistics(running_attempt const& a, target_reply const& reply,
                           running_request const* r, time_point now);
    void take_reply(running_request& r, shard_progress& s,
                    attempt_handle attempt, target_reply& reply,
                    time_point now);
    /// Relays the reply of a plain request. Returns false if it must not be
    /// relayed, or if it is a server error and another attempt is open or
    /// possible.
    bool relay(running_request& r, attempt_handle attempt,
               target_reply const& reply, time_point now);
    void retry_or_lose(running_request& r, std::size_t shard, time_point now);
    bool may_repeat(running_request const& r, shard_progress const& s,
                    time_point now) const;
    /// Takes a retry from the budget if an earlier send reached a target; false
    /// if the budget is exhausted.
    bool may_retry(shard_progress const& s, time_point now);
    /// Sends the deferred shards that are needed. Then fails the request if too
    /// many shards are lost, or answers a scatter-gather query that has its
    /// coverage and is complete or due for a partial answer.
    void try_complete(running_request& r, time_point now);
    /// Sends deferred shards that are needed for the required coverage.
    void send_deferred(running_request& r, time_point now);
    /// Defers the shard if a target that refused may accept it later, else
    /// marks it lost.
    void defer_or_lose(running_request& r, shard_progress& s, time_point now);
    void answer_merged(running_request& r, time_point now);
    void fail(running_request& r, error_kind error, time_point now);
    /// Marks the request as finished, logs its summary and releases it.
    void finish(running_request& r, bool failed, std::string_view outcome,
                time_point now);
    /// Erases a finished request once all of its attempts have ended.
    void erase_if_finished(request_handle request);

    void on_overdue(attempt_handle attempt, time_point now);
    /// Sends a hedge for an overdue attempt if the retry budget allows it, else
    /// checks again later.
    void hedge(running_request& r, std::size_t shard, attempt_handle attempt,
               time_point now);
    void on_attempt_expired(attempt_handle attempt);
    void on_expired(request_handle request, time_point now);

    /// Number of answered shards required for success.
    int needed(running_request const& r) const;
    route_statistics& statistics(route const& matched_route);
    retry_budget& budget(std::string_view service);
    request_summary summarize(running_request const& r, summary_kind kind,
                              std::string_view outcome, time_point now) const;

    random_source& random_;
    target_table& table_;
    fleet_size const& fleet_;
    warmup_share& warmup_;
    engine_port& port_;
    std::unordered_map<attempt_handle, running_attempt> attempts_;
    std::map<std::string, route_statistics, std::less<>> statistics_;
    std::map<std::string, retry_budget, std::less<>> budgets_;
    attempt_handle last_attempt_ = 0;
};

} // namespace kumquatramp::serving

#endif
