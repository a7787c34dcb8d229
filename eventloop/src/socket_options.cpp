// Sets socket options. Failures are ignored because a connection also works
// without an option that the system rejects.
#include <charconv>
#include <chrono>
#include <eventloop/socket_options.hpp>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace kumquatramp::eventloop
{

namespace
{

/// TCP_USER_TIMEOUT: how long sent data may remain unacknowledged before the
/// connection is closed.
constexpr int user_timeout_ms = 4000;
/// Keepalive of idle connections: idle time before the first probe, interval
/// between probes, and unanswered probes before the connection is closed.
constexpr int keepalive_idle_s = 2;
constexpr int keepalive_interval_s = 1;
constexpr int keepalive_probes = 2;

void set_int_option(int fd, int level, int option, int value)
{
    setsockopt(fd, level, option, &value, sizeof value);
}

} // namespace

void set_common_options(asio::ip::tcp::socket& socket)
{
    asio::error_code ignored;
    socket.non_blocking(true, ignored);
    int const fd = socket.native_handle();
    set_int_option(fd, IPPROTO_TCP, TCP_NODELAY, 1);
    set_int_option(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, user_timeout_ms);
    set_int_option(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_int_option(fd, IPPROTO_TCP, TCP_KEEPIDLE, keepalive_idle_s);
    set_int_option(fd, IPPROTO_TCP, TCP_KEEPINTVL, keepalive_interval_s);
    set_int_option(fd, IPPROTO_TCP, TCP_KEEPCNT, keepalive_probes);
}

asio::ip::tcp::endpoint parse_endpoint(std::string_view text)
{
    auto const colon = text.rfind(':');
    if (colon == std::string_view::npos)
    {
        return {};
    }
    asio::error_code failed;
    auto const address =
        asio::ip::make_address(std::string(text.substr(0, colon)), failed);
    std::uint16_t port = 0;
    auto const digits = text.substr(colon + 1);
    auto const [end, error] =
        std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (failed || error != std::errc{} || end != digits.data() + digits.size())
    {
        return {};
    }
    return {address, port};
}

} // namespace kumquatramp::eventloop
