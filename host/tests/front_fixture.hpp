// Fixture: a front service on loopback between clients and targets that the
// test plays byte by byte.
#ifndef KUMQUATRAMP_HOST_TESTS_FRONT_FIXTURE_HPP
#define KUMQUATRAMP_HOST_TESTS_FRONT_FIXTURE_HPP

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <base/seeded_random.hpp>
#include <eventloop/boot_clock.hpp>
#include <eventloop/process_budget.hpp>
#include <host/front_service.hpp>
#include <host/host_log.hpp>
#include <host/wire_profile.hpp>
#include <optional>
#include <raw_socket.hpp>
#include <serving/fleet_size.hpp>
#include <serving/target_table.hpp>
#include <serving/warmup_share.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace kumquatramp::host::testing
{

using eventloop::testing::raw_socket;

class single_host_fleet final : public serving::fleet_size
{
public:
    int hosts(time_point) const override { return 1; }
    int rank(std::string_view, time_point) const override { return 0; }
};

/// A target whose connections the test accepts and answers.
class scripted_target
{
public:
    explicit scripted_target(asio::io_context& loop);

    std::string address() const;
    /// Accepts the connections that are pending and reads what has arrived.
    void poll();

    /// Connections in the order in which they were accepted.
    std::vector<raw_socket> connections;

private:
    asio::io_context& loop_;
    asio::ip::tcp::acceptor acceptor_;
};

/// One service "orders" with the plain routes /read/ (idempotent) and /once/
/// (not idempotent) and the scatter-gather route /query/.
class front_fixture
{
public:
    /// `max_connections` of each target, from all hosts; 0: no limit. `memory`
    /// is that for requests, in bytes.
    explicit front_fixture(
        int max_connections = 0,
        std::size_t memory = eventloop::memory_ledger::unlimited);
    ~front_fixture();

    /// Adds a target of the service to the table.
    scripted_target& add_target(std::string const& id);

    raw_socket connect_client();

    /// Runs the loop for `ms`.
    void run(int ms);
    /// Runs the loop until one of the connections of `target` has received
    /// `text`, and returns its index; std::nullopt after `timeout_ms`.
    std::optional<std::size_t> await_request(scripted_target& target,
                                             std::string_view text,
                                             int timeout_ms = 2000);

    eventloop::process_budget budget;
    asio::io_context loop{1};
    eventloop::boot_clock time;
    wire_profile wire;
    host_log log;
    seeded_random random{1};
    single_host_fleet fleet;
    serving::target_table table;
    serving::warmup_share warmup{"self"};
    front_service front;

private:
    std::uint16_t port_ = 0;
    std::vector<std::unique_ptr<scripted_target>> targets_;
};

/// A request for `path` with a request id and 2 s left.
std::string request(std::string_view method, std::string_view path,
                    std::string_view id, std::string_view body = "");
/// A signed 200 response.
std::string served(std::string_view id, std::string_view body = "done");
/// A 503 response of a target that did not execute the request.
std::string refused(std::string_view id);

} // namespace kumquatramp::host::testing

#endif
