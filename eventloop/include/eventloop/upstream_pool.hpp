// Kept connections to targets, one request at a time on each.
#ifndef KUMQUATRAMP_EVENTLOOP_UPSTREAM_POOL_HPP
#define KUMQUATRAMP_EVENTLOOP_UPSTREAM_POOL_HPP

#include <asio/io_context.hpp>
#include <base/clock.hpp>
#include <cstdint>
#include <memory>
#include <serving/engine_port.hpp>
#include <string>
#include <unordered_map>
#include <vector>

namespace kumquatramp::eventloop
{

struct http_message;
class upstream_connection;

/// How a send over a connection ended.
enum class send_outcome
{
    answered,    ///< a whole, well-formed answer
    not_sent,    ///< no byte of the request left this host
    unconnected, ///< the same, since no connection came to stand
    broken,      ///< bytes left, and nothing came back
    unreadable,  ///< bytes left; what came is no whole answer to the request
};

/// Whether the target can't have seen the request.
constexpr bool certainly_unsent(send_outcome outcome)
{
    return outcome == send_outcome::not_sent ||
           outcome == send_outcome::unconnected;
}

/// Provides the bytes of requests and receives their ends.
class upstream_client
{
public:
    upstream_client() = default;
    upstream_client(upstream_client const&) = delete;
    upstream_client& operator=(upstream_client const&) = delete;
    virtual ~upstream_client() = default;

    /// Asked directly before the first byte leaves; empty: do not send.
    virtual std::string request_bytes(serving::attempt_handle attempt) = 0;

    /// Whether an answer belongs to the attempt's request.
    virtual bool matches_request(serving::attempt_handle attempt,
                                 http_message const& answer) = 0;

    /// `answer` is set for `answered`; `cause` tells of the other outcomes
    /// and is empty if the client itself did not want the send any more.
    virtual void on_end(serving::attempt_handle attempt, send_outcome outcome,
                        http_message* answer, char const* cause) = 0;

    /// A connection was closed while idle, or could not be made; told once
    /// until one stands again.
    virtual void on_connection_lost(serving::target const& /*to*/) {}
};

struct pool_stats
{
    std::uint64_t opened = 0; ///< connections since the start
    std::size_t open = 0;
    std::size_t idle = 0;
};

class upstream_pool
{
public:
    upstream_pool(asio::io_context& loop, clock const& time,
                  upstream_client& client);
    ~upstream_pool();

    /// Sends over an idle connection, or a new one within the order's limit;
    /// waits for one else. `no_body`: the answer has no body (HEAD).
    void start(serving::attempt_order const& order, bool no_body);

    /// Keeps `warm` connections open ahead of need, and closes idle ones
    /// beyond `limit`. Holds until it is called again for the target.
    void keep(std::shared_ptr<serving::target> const& to, std::size_t limit,
              std::size_t warm);

    /// Takes an attempt back if no byte of it has left: it ends as not_sent.
    /// False if bytes have left.
    bool withdraw(serving::attempt_handle attempt);

    /// Ends an attempt; a connection that it is on is closed.
    void abandon(serving::attempt_handle attempt);

    /// Ends slow connects and connections that have been idle too long.
    void sweep();

    pool_stats stats() const;

    /// Ends all attempts and connections; nothing is kept any more.
    void close_all();

private:
    friend class upstream_connection;
    struct lane; // the connections to one target

    struct order_state
    {
        serving::attempt_order order;
        bool no_body = false;
    };

    lane& lane_to(std::shared_ptr<serving::target> const& to);
    void dispatch(lane& l);
    void tend(lane& l);
    void open(lane& l, order_state order);
    void lost(std::string const& lane);
    void stands(std::string const& lane);
    void finish(serving::attempt_handle attempt, send_outcome outcome,
                http_message* answer, char const* cause);
    void finish_later(serving::attempt_handle attempt, char const* cause);
    void forget(upstream_connection* connection);

    asio::io_context& loop_;
    clock const& time_;
    upstream_client& client_;
    std::unordered_map<std::string, std::unique_ptr<lane>> lanes_;
    std::unordered_map<serving::attempt_handle, upstream_connection*> on_;
    std::uint64_t opened_ = 0;
};

} // namespace kumquatramp::eventloop

#endif
