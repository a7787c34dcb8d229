// Pool of persistent connections to targets; one request at a time on each.
#ifndef KUMQUATRAMP_EVENTLOOP_UPSTREAM_POOL_HPP
#define KUMQUATRAMP_EVENTLOOP_UPSTREAM_POOL_HPP

#include <asio/io_context.hpp>
#include <base/clock.hpp>
#include <cstdint>
#include <eventloop/budget_reference.hpp>
#include <memory>
#include <serving/engine_port.hpp>
#include <string>
#include <unordered_map>
#include <vector>

namespace kumquatramp::eventloop
{

struct http_message;
struct outgoing_request;
class upstream_connection;

/// Outcome of sending a request over a connection.
enum class send_outcome
{
    answered,         ///< a complete, well-formed response arrived
    not_sent,         ///< no byte of the request was sent
    unconnected,      ///< as not_sent, because no connection was established
    broken,           ///< bytes were sent; no response byte arrived, or
                      ///< the attempt was abandoned
    invalid_response, ///< bytes were sent; the response is incomplete,
                      ///< malformed or belongs to another request
};

/// Whether the target cannot have received any part of the request.
constexpr bool certainly_unsent(send_outcome outcome)
{
    return outcome == send_outcome::not_sent ||
           outcome == send_outcome::unconnected;
}

/// Provides the serialized requests of an upstream_pool and receives the
/// outcomes.
class upstream_client
{
public:
    upstream_client() = default;
    upstream_client(upstream_client const&) = delete;
    upstream_client& operator=(upstream_client const&) = delete;
    virtual ~upstream_client() = default;

    /// Returns the serialized request. Called immediately before it is sent;
    /// an empty one cancels the send.
    virtual outgoing_request
    serialize_request(serving::attempt_handle attempt) = 0;

    /// Whether a response belongs to the attempt's request.
    virtual bool matches_request(serving::attempt_handle attempt,
                                 http_message const& answer) = 0;

    /// Called exactly once for each attempt. `answer` is the response if the
    /// outcome is `answered`, else null. `cause` describes the other outcomes
    /// and is empty if the client itself cancelled the send before any byte
    /// was sent. `connection` is the one that delivered the response, else 0.
    virtual void on_end(serving::attempt_handle attempt, send_outcome outcome,
                        http_message* answer, char const* cause,
                        serving::connection_id connection) = 0;

    /// Called when an idle connection was closed by the target or a connection
    /// could not be established; then not again for this target until a
    /// connection has been established or sweep() has dropped the target's
    /// empty entry.
    virtual void on_connection_lost(serving::target const& /*to*/) {}

    /// Called for each connection that was established, before anything is
    /// sent on it.
    virtual void on_connected(serving::target const& /*to*/) {}

    /// Called for each connection that could not be established.
    virtual void on_connect_failed(serving::target const& /*to*/) {}
};

/// Number of connections of an upstream_pool, over all targets.
struct pool_stats
{
    std::uint64_t opened = 0; ///< connections opened since the start
    std::size_t open = 0;
    std::size_t idle = 0;
    std::size_t buffered_bytes = 0; ///< responses in progress
};

/// Maintains the connections to all targets and queues requests for them. Not
/// thread-safe: everything runs on the thread of the event loop.
class upstream_pool
{
public:
    /// `budget` must outlive the pool; without one the number of connections
    /// is limited by the orders only.
    upstream_pool(asio::io_context& loop, clock const& time,
                  upstream_client& client, process_budget* budget = nullptr);
    ~upstream_pool();

    /// Sends a request on an idle connection that the order does not exclude,
    /// or on a new one if the order's connection limit allows; otherwise queues
    /// it. If the queue is full, the attempt ends as not_sent. With `no_body`
    /// the response has no body (HEAD).
    void start(serving::attempt_order const& order, bool no_body);

    /// Keeps at least `warm` connections to a target open, opened in advance,
    /// and closes idle ones while there are more than `limit`. Applies until
    /// the next call for the target.
    void keep(std::shared_ptr<serving::target> const& to, std::size_t limit,
              std::size_t warm);

    /// Cancels an attempt of which no byte has been sent; it then ends as
    /// not_sent. Returns false if bytes have been sent or the attempt is
    /// unknown.
    bool withdraw(serving::attempt_handle attempt);

    /// Ends an attempt: as withdraw() does if no byte has been sent, else as
    /// broken, and its connection is closed.
    void abandon(serving::attempt_handle attempt);

    /// Enforces the connect and idle timeouts, closes idle connections to
    /// targets that are gone, opens connections in advance and dispatches
    /// queued requests. Must be called regularly.
    void sweep();

    pool_stats stats() const;

    /// Ends all attempts, closes all connections and stops opening connections
    /// in advance.
    void close_all();

private:
    friend class upstream_connection;
    struct target_pool; // the connections to one target and its queue

    struct pending_send
    {
        serving::attempt_order order;
        bool no_body = false;
    };

    target_pool& pool_for(std::shared_ptr<serving::target> const& to);
    void dispatch(target_pool& pool);
    void adjust_connections(target_pool& pool);
    /// Opens a connection, for `order` if it has a target, else in advance of
    /// need. Returns false and leaves the order if no socket is left.
    bool open(target_pool& pool, pending_send& order);
    /// Closes the connection that has been idle for the longest, of any target.
    /// Returns whether there was one.
    bool close_idle_connection();
    void handle_connection_lost(std::string const& target_id);
    void handle_connected(std::string const& target_id);
    void handle_connect_failed(std::string const& target_id);
    /// Ends an attempt without a valid response.
    void finish(serving::attempt_handle attempt, send_outcome outcome,
                char const* cause);
    void finish_answered(serving::attempt_handle attempt, http_message& answer,
                         serving::connection_id connection);
    void post_not_sent(serving::attempt_handle attempt, char const* cause);
    void remove_connection(upstream_connection* connection);
    /// Whether responses in progress take too much memory, or the process has
    /// no room for this one, and this connection holds at least an average part
    /// of it.
    bool exceeds_memory(std::size_t buffered_by_connection,
                        bool has_room) const;

    asio::io_context& loop_;
    clock const& time_;
    upstream_client& client_;
    budget_reference budget_;
    std::unordered_map<std::string, std::unique_ptr<target_pool>> target_pools_;
    std::unordered_map<serving::attempt_handle, upstream_connection*>
        connection_by_attempt_;
    std::uint64_t opened_ = 0;
    /// Sum of the connections' charges for responses.
    std::size_t buffered_bytes_ = 0;
};

} // namespace kumquatramp::eventloop

#endif
