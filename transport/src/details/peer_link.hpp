// Client connection to another host.
#ifndef KUMQUATRAMP_TRANSPORT_DETAILS_PEER_LINK_HPP
#define KUMQUATRAMP_TRANSPORT_DETAILS_PEER_LINK_HPP

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <base/random_source.hpp>
#include <base/time.hpp>
#include <details/message_exchanger.hpp>
#include <signing/signer.hpp>
#include <string>

namespace kumquatramp
{

/// Sends a message in a signed frame and waits for its answer. Not thread-safe:
/// only one thread may use a link at a time.
class peer_link final : public message_exchanger
{
public:
    /// All references must outlive the link. `timeout` bounds each network
    /// operation.
    peer_link(std::string address, signer const& key, random_source& random,
              duration timeout);

    /// Returns false and closes the connection if no authentic answer arrived
    /// in time.
    bool exchange(std::string const& message, std::string& answer) override;

private:
    bool connect();
    bool send_frame(std::string const& nonce, std::string const& message);
    bool receive_frame(std::string const& nonce, std::string& answer);
    bool run(asio::error_code& ec);
    std::string draw_nonce();

    std::string const address_;
    signer const& key_;
    random_source& random_;
    duration const timeout_;
    asio::io_context io_;
    asio::ip::tcp::socket socket_;
};

} // namespace kumquatramp

#endif
