// Queries hosts over HTTP.
#ifndef KUMQUATRAMP_TOOLS_KUMQUATRAMPCTL_HOST_QUERY_HPP
#define KUMQUATRAMP_TOOLS_KUMQUATRAMPCTL_HOST_QUERY_HPP

#include <json/value.h>
#include <optional>
#include <string>
#include <transport/socket_address.hpp>
#include <vector>

namespace kumquatramp
{

struct http_answer
{
    int status = 0;
    std::string body;
};

/// The status of one host; `status` is nullopt if the host did not answer.
struct host_report
{
    std::string address;
    std::optional<Json::Value> status;
};

/// Sends a GET request; nullopt if connecting or a read takes more than 2 s or
/// fails.
std::optional<http_answer> fetch(socket_address const& address,
                                 std::string const& path);

/// Fetches the status of each host, in the order given.
std::vector<host_report>
fetch_status(std::vector<socket_address> const& admins);

} // namespace kumquatramp

#endif
