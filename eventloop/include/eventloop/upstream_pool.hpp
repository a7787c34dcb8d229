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
    answered, ///< a whole, well-formed answer
    not_sent, ///< no byte of the request left this host
    broken,   ///< bytes left, and no whole answer came
};

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
    virtual bool belongs(serving::attempt_handle attempt,
                         http_message const& answer) = 0;

    /// `answer` is set for `answered`; `cause` tells of the other outcomes
    /// and is empty if the client itself did not want the send any more.
    virtual void on_end(serving::attempt_handle attempt, send_outcome outcome,
                        http_message* answer, char const* cause) = 0;
};

struct pool_figures
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

    /// Ends an attempt; a connection that it is on is closed.
    void abandon(serving::attempt_handle attempt);

    /// Ends slow connects and connections that have been idle too long.
    void sweep();

    pool_figures figures() const;

private:
    friend class upstream_connection;
    struct lane; // the connections to one target

    struct order_state
    {
        serving::attempt_order order;
        bool no_body = false;
    };

    void dispatch(lane& l);
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
