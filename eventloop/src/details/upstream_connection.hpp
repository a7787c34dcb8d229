// Client side of a connection to a target.
#ifndef KUMQUATRAMP_EVENTLOOP_DETAILS_UPSTREAM_CONNECTION_HPP
#define KUMQUATRAMP_EVENTLOOP_DETAILS_UPSTREAM_CONNECTION_HPP

#include <asio/ip/tcp.hpp>
#include <base/time.hpp>
#include <eventloop/memory_ledger.hpp>
#include <eventloop/message_reader.hpp>
#include <eventloop/outgoing_request.hpp>
#include <eventloop/socket_budget.hpp>
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

    upstream_connection(upstream_pool& pool, std::string target_id,
                        serving::connection_id id);

    /// Starts connecting. `order`, if set, is sent once the connection is
    /// established.
    void connect(asio::ip::tcp::endpoint const& to,
                 std::optional<upstream_pool::pending_send> order);
    /// Sends a request. Precondition: no other request is in progress.
    void send(upstream_pool::pending_send order);

    /// Cancels the order if the connection is not established yet. Returns
    /// whether it did; the caller reports the end of the attempt.
    bool withdraw();
    /// Ends a connection that was not established within the connect timeout.
    void time_out_connect();
    /// Closes without reporting an outcome for the order.
    void close();
    /// Closes the socket without a word to the pool.
    void release();

    state current_state() const { return state_; }
    /// When the current state was entered.
    time_point state_since() const { return state_since_; }
    /// When an idle connection expires and must not be used any more.
    time_point idle_until() const { return state_since_ + idle_limit_; }
    duration idle_limit() const { return idle_limit_; }
    std::string const& target_id() const { return target_id_; }
    serving::connection_id id() const { return id_; }

private:
    void on_connected(asio::error_code const& failed);
    void fail_connect(char const* cause);
    void wait_readable();
    void on_readable();
    void on_bytes(std::span<char const> bytes);
    /// `cause` replaces the default one of a stream that did not end orderly.
    void on_stream_end(bool orderly, char const* cause = nullptr);
    /// Updates the accounts of the response in progress; false if it exceeds
    /// them.
    bool account(std::size_t received);
    void drop_response_charge();
    void complete(bool reusable);
    void update_idle_limit(http_message const& answer);
    serving::attempt_handle release_attempt();

    upstream_pool& pool_;
    std::string target_id_;
    serving::connection_id id_;
    asio::ip::tcp::socket socket_;
    socket_slot slot_;
    memory_charge response_charge_; ///< head and body of the response
    message_reader reader_;
    upstream_pool::pending_send current_send_;
    bool has_current_send_ = false;
    bool response_started_ = false;  ///< bytes of the response have arrived
    std::size_t response_bytes_ = 0; ///< received of the response
    bool writing_ = false;      ///< an async_write of the request is pending
    outgoing_request outgoing_; ///< while writing_
    state state_ = state::connecting;
    time_point state_since_; ///< when the current state was entered
    duration idle_limit_;
};

} // namespace kumquatramp::eventloop

#endif
