// Queries hosts over HTTP.
#include "host_query.hpp"
#include <chrono>
#include <httplib.h>
#include <transport/json_text.hpp>
#include <utility>

namespace kumquatramp
{

namespace
{

constexpr std::chrono::seconds request_timeout{2};
constexpr int http_ok = 200;

} // namespace

std::optional<http_answer> fetch(socket_address const& address,
                                 std::string const& path)
{
    httplib::Client client(address.ip, address.port);
    client.set_connection_timeout(request_timeout);
    client.set_read_timeout(request_timeout);
    auto const answer = client.Get(path);
    if (!answer)
    {
        return std::nullopt;
    }
    return http_answer{answer->status, answer->body};
}

std::vector<host_report> fetch_status(std::vector<socket_address> const& admins)
{
    std::vector<host_report> reports;
    for (auto const& admin : admins)
    {
        auto const answer = fetch(admin, "/v1/status");
        auto status = answer && answer->status == http_ok
                          ? parse_json(answer->body)
                          : std::nullopt;
        reports.push_back({to_string(admin), std::move(status)});
    }
    return reports;
}

} // namespace kumquatramp
