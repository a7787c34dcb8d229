// Server for the RPC interface that other hosts call.
#ifndef KUMQUATRAMP_TRANSPORT_PEER_SERVER_HPP
#define KUMQUATRAMP_TRANSPORT_PEER_SERVER_HPP

#include <asio/io_context.hpp>
#include <base/result.hpp>
#include <memory>
#include <signing/signer.hpp>
#include <transport/socket_address.hpp>

namespace kumquatramp
{

class peer_events;

/// Serves JSON-RPC (libjsonrpccpp) over authenticated frames (Asio). Runs on
/// the given io_context.
class peer_server
{
public:
    /// All references must outlive the server.
    peer_server(asio::io_context& io, signer const& key, peer_events& events);
    ~peer_server();

    /// Starts accepting connections and returns the bound port. Fails with
    /// invalid_configuration if the address cannot be bound.
    result<std::uint16_t> listen(socket_address const& address);

    void stop();

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace kumquatramp

#endif
