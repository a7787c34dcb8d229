// One shard of a request ledger, protected by its own lock.
#ifndef KUMQUATRAMP_REQUESTS_DETAILS_LEDGER_SHARD_HPP
#define KUMQUATRAMP_REQUESTS_DETAILS_LEDGER_SHARD_HPP

#include <base/result.hpp>
#include <base/time.hpp>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <mutex>
#include <requests/request_outcome.hpp>
#include <string>
#include <unordered_map>

namespace kumquatramp::details
{

/// Limits of one shard; see ledger_options.
struct shard_options
{
    std::size_t capacity = 0;
    std::size_t response_bytes = 0;
    duration unused_lifetime{};
    duration outcome_retention{};
};

/// Stores the ids whose sequence maps to this shard. An id that is not stored
/// was never issued or has been evicted. Neither can ever run: only add()
/// inserts an id, once, and only stored ids are granted the right to send.
/// Thread-safe.
class ledger_shard
{
public:
    explicit ledger_shard(shard_options const& options);

    /// Adds an unused id; returns false if the shard is full of requests in
    /// progress.
    bool add(std::uint64_t sequence, time_point now);

    result<void> admit(std::uint64_t sequence, time_point now);
    bool begin_send(std::uint64_t sequence);
    void return_unsent(std::uint64_t sequence);

    /// Records the final state; see request_ledger for which one is kept.
    void finish(std::uint64_t sequence, request_outcome end, time_point now);
    bool cancel(std::uint64_t sequence, time_point now);
    request_outcome outcome(std::uint64_t sequence, time_point now);
    void expire(time_point now);

    std::size_t size() const;

private:
    struct entry
    {
        std::uint64_t sequence = 0;
        // Time of issue, replaced by the time at which the request finished.
        time_point since;
        request_outcome outcome;
    };

    using entries = std::list<entry>;

    // The functions below require that mutex_ is held.
    bool make_room();
    entry* find(std::uint64_t sequence);
    void end(entry& ended, request_outcome outcome, time_point now);
    bool is_expired(entry const& unused, time_point now) const;
    void end_if_expired(entry& candidate, time_point now);
    void store_response(entry const& ended);
    void drop_oldest_response();
    void drop_oldest_ended();

    shard_options const options_;
    mutable std::mutex mutex_;
    // The members below are guarded by mutex_. Every id is in exactly one list.
    entries unused_; // in order of issue
    entries active_; // waiting or sent; never evicted
    entries ended_;  // in the order in which they finished
    std::unordered_map<std::uint64_t, entries::iterator> by_sequence_;
    // Finished ids with a stored response, in the order of ended_.
    std::deque<std::uint64_t> responses_;
    std::size_t response_bytes_ = 0; // total size over responses_
};

} // namespace kumquatramp::details

#endif
