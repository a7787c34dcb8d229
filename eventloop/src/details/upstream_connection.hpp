// Client side of a connection to a target.
#ifndef KUMQUATRAMP_EVENTLOOP_DETAILS_UPSTREAM_CONNECTION_HPP
#define KUMQUATRAMP_EVENTLOOP_DETAILS_UPSTREAM_CONNECTION_HPP

#include <asio/ip/tcp.hpp>
#include <base/time.hpp>
#include <eventloop/message_reader.hpp>
#include <eventloop/upstream_pool.hpp>
#include <memory>
#include <optional>
#include <string>

namespace kumquatramp::eventloop
{

/// Sends one request at a time and reports its outcome to the pool.
class upstream_connection final
    : public std::enable_shared_from_this<upstream_connection>
{
public:
    enum class state
    {
        connecting,
        idle,
        busy,
        closed,
    };

    upstream_connection(upstream_pool& pool, std::string lane);

    /// Starts connecting. `order`, if set, is sent once the connection is
    /// established.
    void connect(asio::ip::tcp::endpoint const& to,
                 std::optional<upstream_pool::order_state> order);
    /// Sends a request. Precondition: no other request is in progress.
    void send(upstream_pool::order_state order);

    /// Cancels the order if the connection is not established yet. Returns
    /// whether it did; the caller reports the end of the attempt.
    bool withdraw();
    /// Ends a connection that was not established within the connect timeout.
    void expire();
    /// Closes without reporting an outcome for the order.
    void close();

    state now() const { return state_; }
    /// When the current state was entered.
    time_point since() const { return since_; }
    /// When an idle connection expires and must not be used any more.
    time_point idle_until() const { return since_ + idle_limit_; }
    duration idle_limit() const { return idle_limit_; }
    std::string const& lane() const { return lane_; }

private:
    void on_connected(asio::error_code const& failed);
    void give_up(char const* cause);
    void wait_readable();
    void on_readable();
    void on_bytes(std::span<char const> bytes);
    void on_broken(bool in_order);
    void complete(bool reusable);
    void learn_idle_limit(http_message const& answer);
    serving::attempt_handle take_attempt();

    upstream_pool& pool_;
    std::string lane_;
    asio::ip::tcp::socket socket_;
    message_reader reader_;
    upstream_pool::order_state order_;
    bool has_order_ = false;
    bool answering_ = false; ///< bytes of the response have arrived
    bool writing_ = false;   ///< an async_write of the request is pending
    std::string out_;
    state state_ = state::connecting;
    time_point since_; ///< when the current state was entered
    duration idle_limit_;
};

} // namespace kumquatramp::eventloop

#endif
