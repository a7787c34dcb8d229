// Ensures that each non-idempotent request runs at most once.
#ifndef KUMQUATRAMP_REQUESTS_REQUEST_LEDGER_HPP
#define KUMQUATRAMP_REQUESTS_REQUEST_LEDGER_HPP

#include <atomic>
#include <base/result.hpp>
#include <base/time.hpp>
#include <memory>
#include <requests/ledger_options.hpp>
#include <requests/request_id.hpp>
#include <requests/request_outcome.hpp>
#include <string>
#include <vector>

namespace kumquatramp
{

namespace details
{
class ledger_shard;
} // namespace details

/// Issues request ids for one host incarnation and records the outcome of
/// each. Thread-safe; the state is sharded, with one lock per shard.
///
///     auto const id = ledger.issue(now);
///     ledger.admit(id.value(), now);          // the caller presents the id
///     if (ledger.begin_send(id.value(), now)) // just before the first byte
///         ...
///     ledger.finish_ran(id.value(), response, now);
///
/// Invariant: between two successful begin_send() calls for one id there is
/// always a return_unsent() call, which is allowed only if the target
/// certainly did not run the request.
class request_ledger
{
public:
    request_ledger(host_name host, incarnation life, ledger_options options);
    ~request_ledger();

    /// Issues a new id. Fails with overloaded if the ledger is full of
    /// requests that are waiting or sent.
    result<request_id> issue(time_point now);

    /// Accepts an id for execution; succeeds at most once per id. Errors:
    /// foreign_request_id if another incarnation issued it;
    /// duplicate_request if it has been presented before (see outcome());
    /// invalid_request_id if it was never issued or expired unused;
    /// outcome_unknown if its record was evicted, so that it may have run.
    result<void> admit(request_id const& id, time_point now);

    /// Grants the right to send, once; it can be granted again only after
    /// return_unsent(). Returns false if the id is not waiting (cancelled,
    /// expired, sent, finished). Call immediately before the first byte is
    /// written.
    bool begin_send(request_id const& id, time_point now);

    /// Reports that the request certainly did not run (no connection, or
    /// refused by the target before execution) and returns the id to the
    /// waiting state. Call at most once for each begin_send(); ignored
    /// unless the id is sent.
    void return_unsent(request_id const& id);

    /// Record the final state. The first final state is kept and later ones
    /// are ignored, except that ran and not_run replace unknown, since they
    /// are definite.
    void finish_ran(request_id const& id, std::string response, time_point now);
    void finish_not_run(request_id const& id, error_kind why, time_point now);
    void finish_unknown(request_id const& id, error_kind why, time_point now);

    /// Finishes an unused or waiting request as not_run and returns true.
    /// Returns false, without effect, if the request is sent (it can no
    /// longer be stopped) or finished.
    bool cancel(request_id const& id, time_point now);

    /// Returns the recorded state of the request; unknown for an id of
    /// another incarnation or one whose record was evicted.
    request_outcome outcome(request_id const& id, time_point now) const;

    /// Finishes unused ids past their lifetime as not_run and evicts outcomes
    /// past their retention period. An evicted id can never run. Waiting and
    /// sent ids are kept until they are finished.
    void expire(time_point now);

    /// Number of ids kept, over all states.
    std::size_t size() const;

private:
    details::ledger_shard& shard_of(std::uint64_t sequence) const;
    bool issued_here(request_id const& id) const;
    void finish(request_id const& id, request_outcome outcome, time_point now);

    host_name const host_;
    incarnation const life_;
    std::atomic<std::uint64_t> next_sequence_{1};
    std::vector<std::unique_ptr<details::ledger_shard>> shards_;
};

} // namespace kumquatramp

#endif
