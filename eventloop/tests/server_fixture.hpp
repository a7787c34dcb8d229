// Fixture: an http_server on loopback, a clock set by the test, and a record of
// what the server hands to its handler.
#ifndef KUMQUATRAMP_EVENTLOOP_TESTS_SERVER_FIXTURE_HPP
#define KUMQUATRAMP_EVENTLOOP_TESTS_SERVER_FIXTURE_HPP

#include "raw_socket.hpp"
#include <base/clock.hpp>
#include <eventloop/http_message.hpp>
#include <eventloop/http_server.hpp>
#include <eventloop/process_budget.hpp>
#include <vector>

namespace kumquatramp::eventloop::testing
{

inline std::string ok(std::string const& body)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

class manual_clock final : public clock
{
public:
    time_point now() const noexcept override { return at; }

    time_point at = time_point(1h);
};

struct server_fixture : request_handler
{
    explicit server_fixture(std::size_t memory = memory_ledger::unlimited,
                            std::size_t sockets = socket_budget::unlimited)
        : budget{.memory = memory_ledger(memory),
                 .sockets = socket_budget(sockets)}
    {
        asio::ip::tcp::acceptor free_port(
            loop, {asio::ip::make_address("127.0.0.1"), 0});
        at = free_port.local_endpoint();
        free_port.close();
        server.listen(at);
    }

    void on_request(exchange_id exchange, http_message& message) override
    {
        targets.push_back(message.target);
        open = exchange;
        if (respond_immediately)
        {
            server.respond(exchange, ok(message.target + message.body), false);
        }
    }
    void on_client_disconnected(exchange_id) override { ++disconnects; }
    std::string rejection(error_kind kind) override
    {
        rejected.push_back(kind);
        return "HTTP/1.1 400 Bad\r\nContent-Length: " +
               std::to_string(rejection_body.size()) + "\r\n\r\n" +
               rejection_body;
    }

    raw_socket client() { return raw_socket::connect(loop, at); }
    /// Advances the server's clock; the real time that this takes does not
    /// matter.
    void run(int ms)
    {
        for (int i = 0; i < ms; ++i)
        {
            loop.restart();
            loop.run_for(std::chrono::milliseconds(1));
            time.at += 1ms;
            server.sweep();
        }
    }

    process_budget budget;
    asio::io_context loop{1};
    manual_clock time;
    http_server server{loop, time, *this, &budget};
    asio::ip::tcp::endpoint at;
    std::vector<std::string> targets;
    std::vector<error_kind> rejected;
    std::string rejection_body;
    exchange_id open = 0;
    bool respond_immediately = true;
    int disconnects = 0;
};

} // namespace kumquatramp::eventloop::testing

#endif
