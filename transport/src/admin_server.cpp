// Connection handling of the operators' port: accepts, serves, watches idle
// connections and rejects connections beyond the limits.
#include <array>
#include <cerrno>
#include <details/httplib_response.hpp>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <transport/admin_server.hpp>
#include <transport/error_body.hpp>
#include <transport/socket_stream.hpp>
#include <unistd.h>
#include <utility>

namespace kumquatramp
{

namespace
{

constexpr int http_bad_request = 400;
constexpr int http_not_found = 404;
constexpr int http_too_large = 413;

/// Runs jobs inline, so that cpp-httplib calls process_and_close_socket() for
/// each connection on the accepting thread.
class inline_task_queue final : public httplib::TaskQueue
{
public:
    void enqueue(std::function<void()> job) override { job(); }
    void shutdown() override {}
};

error_kind kind_of_status(int status)
{
    switch (status)
    {
    case http_not_found:
        return error_kind::unknown_path;
    case http_too_large:
        return error_kind::body_too_large;
    default:
        return status >= 500 ? error_kind::internal
                             : error_kind::malformed_request;
    }
}

/// Fills in the body of error responses that cpp-httplib generates itself.
void fill_error_response(httplib::Request const& /*request*/,
                         httplib::Response& response)
{
    if (response.body.empty())
    {
        auto const status = response.status;
        write_error(response, {kind_of_status(status), ""});
        response.status = status;
    }
}

std::string overload_response()
{
    auto const body = error_body("", {error_kind::overloaded, "connections"});
    return "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n"
           "Retry-After: 1\r\nContent-Type: application/json\r\n"
           "Content-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

admin_server::admin_server(port_options options, clock const& time)
    : options_(options)
    , time_(time)
    , workers_(options.workers, options.max_queued)
    , idle_([this](int socket, bool ready) { on_watch_end(socket, ready); })
{
    constexpr std::size_t max_keep_alive_requests = 1'000'000'000;
    new_task_queue = [] { return new inline_task_queue; };
    set_payload_max_length(options_.max_body_bytes);
    set_keep_alive_max_count(max_keep_alive_requests);
    set_keep_alive_timeout(
        std::chrono::duration_cast<std::chrono::seconds>(options_.idle_timeout)
            .count());
    set_error_handler(
        [](httplib::Request const& request, httplib::Response& response)
        { fill_error_response(request, response); });
    set_exception_handler(
        [](httplib::Request const&, httplib::Response& response,
           std::exception_ptr const&) {
            write_error(response, {error_kind::internal, ""});
        });
    // cpp-httplib sets SO_REUSEPORT by default, with which bind() would succeed
    // although another process uses the port.
    set_socket_options(
        [](socket_t socket)
        {
            int const on = 1;
            ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        });
}

admin_server::~admin_server()
{
    stop();
}

result<std::uint16_t> admin_server::start(socket_address const& address)
{
    int port = address.port;
    errno = 0;
    if (port == 0)
    {
        port = bind_to_any_port(address.ip);
    }
    else if (!bind_to_port(address.ip, port))
    {
        port = -1;
    }
    if (port <= 0)
    {
        auto const reason =
            std::generic_category().message(errno == 0 ? EADDRINUSE : errno);
        return failure(error_kind::invalid_configuration,
                       to_string(address) + ": " + reason);
    }
    acceptor_ = std::thread([this] { listen_after_bind(); });
    return static_cast<std::uint16_t>(port);
}

void admin_server::stop()
{
    if (stopping_.exchange(true))
    {
        return;
    }
    if (acceptor_.joinable())
    {
        while (!is_running())
        {
            std::this_thread::yield();
        }
        Server::stop();
        acceptor_.join();
    }
    idle_.stop();
    workers_.stop();
}

bool admin_server::process_and_close_socket(socket_t socket)
{
    ++connections_;
    int const on = 1;
    ::fcntl(socket, F_SETFL, ::fcntl(socket, F_GETFL) | O_NONBLOCK);
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    if (connections_ > options_.max_connections)
    {
        refuse(socket);
        return true;
    }
    idle_.watch(socket, options_.idle_timeout);
    return true;
}

void admin_server::on_watch_end(int socket, bool ready)
{
    if (!ready || is_closed(socket))
    {
        close_connection(socket);
        return;
    }
    enqueue(socket);
}

void admin_server::enqueue(int socket)
{
    if (!workers_.try_post([this, socket] { serve(socket); }))
    {
        refuse(socket);
    }
}

void admin_server::serve(int socket)
{
    socket_stream stream(socket, time_, options_.limits);
    do
    {
        if (!serve_request(stream))
        {
            close_connection(socket);
            return;
        }
    } while (stream.has_unread());
    if (stopping_)
    {
        close_connection(socket);
        return;
    }
    idle_.watch(socket, options_.idle_timeout);
}

// Serves one request; returns false if the connection must be closed.
bool admin_server::serve_request(socket_stream& stream)
{
    stream.begin(time_.now() + options_.receive_timeout);
    bool closed = false;
    bool const served = process_request(stream, stopping_, closed, nullptr);
    bool const received_whole = stream.end() == stream_end::none;
    if (stream.end() == stream_end::closed ||
        stream.end() == stream_end::timed_out)
    {
        return false;
    }
    stream.finish(time_.now() + options_.write_timeout);
    return served && received_whole && !closed &&
           stream.end() == stream_end::none;
}

// Sends 503 without occupying a worker; the request is discarded unparsed.
void admin_server::refuse(int socket)
{
    auto const answer = overload_response();
    ::send(socket, answer.data(), answer.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    ::shutdown(socket, SHUT_WR);
    std::array<char, 4096> unread{};
    while (::recv(socket, unread.data(), unread.size(), MSG_DONTWAIT) > 0)
    {
    }
    close_connection(socket);
}

void admin_server::close_connection(int socket)
{
    ::close(socket);
    --connections_;
}

bool admin_server::is_closed(int socket)
{
    char byte = 0;
    auto const count = ::recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    bool const waiting = count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    return count <= 0 && !waiting;
}

} // namespace kumquatramp
