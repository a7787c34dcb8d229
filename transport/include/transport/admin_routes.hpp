// Routes of the operators' HTTP interface.
#ifndef KUMQUATRAMP_TRANSPORT_ADMIN_ROUTES_HPP
#define KUMQUATRAMP_TRANSPORT_ADMIN_ROUTES_HPP

namespace httplib
{
class Server;
} // namespace httplib

namespace kumquatramp
{

class node_driver;

/// Registers the operator endpoints specified in docs/PROTOCOLS.md. `driver`
/// must outlive the server.
void add_admin_routes(httplib::Server& server, node_driver& driver);

} // namespace kumquatramp

#endif
