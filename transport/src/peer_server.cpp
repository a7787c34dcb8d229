// Accepts connections from other hosts and answers their frames in sequence.
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/steady_timer.hpp>
#include <asio/strand.hpp>
#include <asio/write.hpp>
#include <atomic>
#include <details/peer_rpc.hpp>
#include <mutex>
#include <transport/peer_events.hpp>
#include <transport/peer_frame.hpp>
#include <transport/peer_server.hpp>
#include <utility>

namespace kumquatramp
{

namespace
{

using asio::ip::tcp;

constexpr std::uint32_t max_peer_connections = 256;
constexpr duration idle_timeout = 30s;

/// State shared by all sessions of a server.
struct session_context
{
    signer const& key;
    peer_events& events;
    std::atomic<std::uint32_t> open{0};
    std::atomic<bool> stopped{false};
};

/// One connection from another host. It is closed when a frame is malformed or
/// fails authentication, or when the idle timeout expires.
class peer_session : public std::enable_shared_from_this<peer_session>
{
public:
    peer_session(tcp::socket socket, std::shared_ptr<session_context> context)
        : socket_(std::move(socket))
        , idle_(socket_.get_executor())
        , context_(std::move(context))
        , rpc_(connector_, context_->events)
    {
        ++context_->open;
    }

    ~peer_session() { --context_->open; }
    peer_session(peer_session const&) = delete;
    peer_session& operator=(peer_session const&) = delete;

    void read_length()
    {
        if (context_->stopped)
        {
            return;
        }
        watch_idle();
        asio::async_read(
            socket_, asio::buffer(length_),
            [self = shared_from_this()](asio::error_code ec, std::size_t)
            {
                if (!ec)
                {
                    self->read_content();
                }
            });
    }

private:
    void watch_idle()
    {
        idle_.expires_after(idle_timeout);
        idle_.async_wait(
            [weak = weak_from_this()](asio::error_code ec)
            {
                auto const self = weak.lock();
                if (!ec && self)
                {
                    asio::error_code ignored;
                    self->socket_.close(ignored);
                }
            });
    }

    void read_content()
    {
        auto const length = decode_frame_length(length_);
        if (!length)
        {
            return;
        }
        content_.resize(*length);
        asio::async_read(
            socket_, asio::buffer(content_),
            [self = shared_from_this()](asio::error_code ec, std::size_t)
            {
                if (!ec)
                {
                    self->answer();
                }
            });
    }

    void answer()
    {
        auto const frame =
            decode_frame(context_->key, frame_kind::request, content_);
        if (!frame)
        {
            return;
        }
        answer_ = encode_frame(context_->key, frame_kind::answer,
                               {frame->nonce, connector_.answer(frame->text)});
        asio::async_write(
            socket_, asio::buffer(answer_),
            [self = shared_from_this()](asio::error_code ec, std::size_t)
            {
                if (!ec)
                {
                    self->read_length();
                }
            });
    }

    tcp::socket socket_;
    asio::steady_timer idle_;
    std::shared_ptr<session_context> context_;
    message_connector connector_;
    peer_rpc rpc_;
    std::array<unsigned char, frame_length_bytes> length_{};
    std::string content_;
    std::string answer_;
};

} // namespace

class peer_server::impl : public std::enable_shared_from_this<impl>
{
public:
    impl(asio::io_context& io, signer const& key, peer_events& events)
        : io_(io)
        , acceptor_(io)
        , context_(new session_context{key, events})
    {
    }

    result<std::uint16_t> listen(socket_address const& address)
    {
        asio::error_code ec;
        tcp::endpoint const endpoint(asio::ip::make_address(address.ip),
                                     address.port);
        acceptor_.open(endpoint.protocol(), ec);
        acceptor_.set_option(tcp::acceptor::reuse_address(true), ec);
        acceptor_.bind(endpoint, ec);
        if (!ec)
        {
            acceptor_.listen(asio::socket_base::max_listen_connections, ec);
        }
        if (ec)
        {
            return failure(error_kind::invalid_configuration,
                           to_string(address) + ": " + ec.message());
        }
        accept();
        return acceptor_.local_endpoint(ec).port();
    }

    void stop()
    {
        context_->stopped = true;
        asio::post(io_,
                   [self = shared_from_this()]
                   {
                       asio::error_code ignored;
                       self->acceptor_.close(ignored);
                   });
    }

private:
    void accept()
    {
        acceptor_.async_accept(
            asio::make_strand(io_),
            [self = shared_from_this()](asio::error_code ec, tcp::socket socket)
            {
                if (self->context_->stopped)
                {
                    return;
                }
                if (!ec && self->context_->open < max_peer_connections)
                {
                    asio::error_code ignored;
                    socket.set_option(tcp::no_delay(true), ignored);
                    std::make_shared<peer_session>(std::move(socket),
                                                   self->context_)
                        ->read_length();
                }
                self->accept();
            });
    }

    asio::io_context& io_;
    tcp::acceptor acceptor_;
    std::shared_ptr<session_context> context_;
};

peer_server::peer_server(asio::io_context& io, signer const& key,
                         peer_events& events)
    : impl_(std::make_shared<impl>(io, key, events))
{
}

peer_server::~peer_server()
{
    stop();
}

result<std::uint16_t> peer_server::listen(socket_address const& address)
{
    return impl_->listen(address);
}

void peer_server::stop()
{
    impl_->stop();
}

} // namespace kumquatramp
