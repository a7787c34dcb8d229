// Bounded queue of admitted requests that wait for a target.
#ifndef KUMQUATRAMP_REQUESTS_REQUEST_QUEUE_HPP
#define KUMQUATRAMP_REQUESTS_REQUEST_QUEUE_HPP

#include <base/ids.hpp>
#include <base/time.hpp>
#include <cstddef>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

namespace kumquatramp
{

/// FIFO within a caller and round-robin over callers, so that a caller with a
/// long backlog does not starve the others. Thread-safe. Each queued request
/// leaves the queue through exactly one of pop(), expire() or remove().
class request_queue
{
public:
    explicit request_queue(std::size_t capacity);
    ~request_queue();

    /// Appends a request. Returns false, without effect, if the queue is
    /// full, if the caller has reached its share (four times the number of
    /// free places), or if the number is already queued.
    bool push(query_number number, caller_name const& caller,
              time_point deadline);

    /// Removes and returns the next request in round-robin order; nullopt if
    /// the queue is empty.
    std::optional<query_number> pop();

    /// Returns a popped request to the head of its caller's queue. It is
    /// accepted even if the queue is full or the caller has reached its share.
    void put_back(query_number number, caller_name const& caller,
                  time_point deadline);

    /// Removes one request; returns false if it is not queued.
    bool remove(query_number number);

    /// Removes and returns all requests whose deadline has passed.
    std::vector<query_number> expire(time_point now);

    /// The earliest deadline in the queue; `never` if it is empty.
    time_point next_deadline() const;

    std::size_t size() const;

private:
    struct state;
    mutable std::mutex mutex_;
    std::unique_ptr<state> state_; // guarded by mutex_
};

} // namespace kumquatramp

#endif
