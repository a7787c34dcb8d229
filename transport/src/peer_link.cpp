// Exchanges frames over one connection; each operation has a timeout.
#include <asio/connect.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <details/peer_link.hpp>
#include <transport/peer_frame.hpp>
#include <transport/socket_address.hpp>
#include <utility>

namespace kumquatramp
{

peer_link::peer_link(std::string address, signer const& key,
                     random_source& random, duration timeout)
    : address_(std::move(address))
    , key_(key)
    , random_(random)
    , timeout_(timeout)
    , socket_(io_)
{
}

// Runs the started operation to completion; false if it failed or timed out.
bool peer_link::run(asio::error_code& ec)
{
    io_.restart();
    io_.run_for(timeout_);
    if (!io_.stopped())
    {
        asio::error_code ignored;
        socket_.close(ignored);
        io_.run();
        return false;
    }
    return !ec;
}

bool peer_link::connect()
{
    auto const parsed = parse_socket_address(address_);
    if (!parsed)
    {
        return false;
    }
    asio::ip::tcp::endpoint const endpoint(asio::ip::make_address(parsed->ip),
                                           parsed->port);
    asio::error_code ec;
    socket_ = asio::ip::tcp::socket(io_);
    socket_.async_connect(endpoint,
                          [&ec](asio::error_code done) { ec = done; });
    if (!run(ec))
    {
        return false;
    }
    socket_.set_option(asio::ip::tcp::no_delay(true), ec);
    return true;
}

std::string peer_link::draw_nonce()
{
    constexpr char digits[] = "0123456789abcdef";
    std::string nonce;
    for (int word = 0; word < 2; ++word)
    {
        auto bits = random_.next();
        for (int i = 0; i < 16; ++i, bits >>= 4U)
        {
            nonce.push_back(digits[bits & 0xfU]);
        }
    }
    return nonce;
}

bool peer_link::send_frame(std::string const& nonce, std::string const& message)
{
    auto const bytes =
        encode_frame(key_, frame_kind::request, {nonce, message});
    asio::error_code ec;
    asio::async_write(socket_, asio::buffer(bytes),
                      [&ec](asio::error_code done, std::size_t) { ec = done; });
    return run(ec);
}

bool peer_link::receive_frame(std::string const& nonce, std::string& answer)
{
    std::array<unsigned char, frame_length_bytes> header{};
    asio::error_code ec;
    asio::async_read(socket_, asio::buffer(header),
                     [&ec](asio::error_code done, std::size_t) { ec = done; });
    if (!run(ec))
    {
        return false;
    }
    auto const length = decode_frame_length(header);
    if (!length)
    {
        return false;
    }
    std::string content(*length, '\0');
    asio::async_read(socket_, asio::buffer(content),
                     [&ec](asio::error_code done, std::size_t) { ec = done; });
    if (!run(ec))
    {
        return false;
    }
    auto const frame = decode_frame(key_, frame_kind::answer, content);
    if (!frame || frame->nonce != nonce)
    {
        return false;
    }
    answer = frame->text;
    return true;
}

bool peer_link::exchange(std::string const& message, std::string& answer)
{
    auto const nonce = draw_nonce();
    bool const succeeded = (socket_.is_open() || connect()) &&
                           send_frame(nonce, message) &&
                           receive_frame(nonce, answer);
    if (!succeeded)
    {
        asio::error_code ignored;
        socket_.close(ignored);
    }
    return succeeded;
}

} // namespace kumquatramp
