// One connection to a target.
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

    /// `order`, if there is one, is sent once the connection stands.
    void connect(asio::ip::tcp::endpoint const& to,
                 std::optional<upstream_pool::order_state> order);
    void send(upstream_pool::order_state order);

    /// Takes the order back if none of its bytes have left.
    bool withdraw();
    /// The connection did not come to stand in time.
    void expire();
    void close();

    state now() const { return state_; }
    time_point since() const { return since_; }
    /// Until then an idle connection may be used.
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
    bool answering_ = false; ///< bytes have come since the request left
    bool writing_ = false;   ///< the socket has not taken the whole request
    std::string out_;
    state state_ = state::connecting;
    time_point since_; ///< of the present state
    duration idle_limit_;
};

} // namespace kumquatramp::eventloop

#endif
