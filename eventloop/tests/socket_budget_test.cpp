// Tests socket_budget, and which connections http_server closes for others.
#include "server_fixture.hpp"
#include <catch2/catch.hpp>
#include <eventloop/socket_budget.hpp>
#include <optional>

namespace kumquatramp::eventloop
{

using testing::ok;
using testing::raw_socket;
using testing::server_fixture;

namespace
{

/// Sockets of which clients may use 12.
constexpr std::size_t sockets = 48;
constexpr std::size_t client_sockets = 12;

struct short_of_sockets : server_fixture
{
    short_of_sockets()
        : server_fixture(memory_ledger::unlimited, sockets)
    {
    }

    void pass(duration time_passed)
    {
        time.at += time_passed;
        server.sweep();
        run(5);
    }

    std::vector<raw_socket> connect(std::size_t count)
    {
        std::vector<raw_socket> connected;
        for (std::size_t i = 0; i < count; ++i)
        {
            connected.push_back(client());
        }
        run(20);
        return connected;
    }
};

std::size_t count_closed(std::vector<raw_socket>& connections)
{
    std::size_t closed = 0;
    for (auto& c : connections)
    {
        c.read_available();
        closed += c.peer_closed() ? 1U : 0U;
    }
    return closed;
}

} // namespace

TEST_CASE("clients leave sockets to targets, and both leave some to the host")
{
    socket_budget budget(sockets);
    std::vector<std::unique_ptr<socket_slot>> slots;
    auto const take_all = [&](socket_use use)
    {
        std::size_t count = 0;
        for (; budget.has_room(use); ++count)
        {
            slots.push_back(std::make_unique<socket_slot>(budget, use));
        }
        CHECK_FALSE(socket_slot(budget, use).taken());
        return count;
    };
    CHECK(take_all(socket_use::client) == client_sockets);
    CHECK(take_all(socket_use::warm_target) == 0);
    CHECK(take_all(socket_use::target) == 4);
    CHECK(budget.open() == 16);
    CHECK(budget.client_shortage() > 0);
    slots.clear();
    CHECK(budget.open() == 0);
    CHECK(budget.client_shortage() == 0);
}

// Guards against a host without descriptors: it could neither accept clients
// nor reach targets, other hosts and the store.
TEST_CASE("connections above the sockets for clients are closed at once")
{
    short_of_sockets f;
    auto connections = f.connect(client_sockets + 5);
    CHECK(f.server.connections() == client_sockets);
    CHECK(count_closed(connections) == 5);
    CHECK(f.server.refused_connections() == 5);
    CHECK(f.budget.sockets.open() == client_sockets);
}

TEST_CASE("quiet connections make room for others, the longest quiet first")
{
    short_of_sockets f;
    f.respond_immediately = false;
    auto first = f.connect(1);
    f.pass(300ms);
    auto rest = f.connect(client_sockets - 2);
    auto busy = f.client();
    busy.send("GET /busy HTTP/1.1\r\n\r\n");
    f.run(5);
    REQUIRE(f.server.connections() == client_sockets);
    f.pass(750ms);
    first.front().read_available();
    CHECK(first.front().peer_closed());
    CHECK(count_closed(rest) == 0);
    f.pass(400ms);
    std::size_t const closed = f.server.closed_for_room();
    CHECK(closed >= 1);
    CHECK(closed <= 3);

    auto newcomer = f.client();
    newcomer.send("GET /new HTTP/1.1\r\n\r\n");
    f.run(20);
    CHECK(f.targets == std::vector<std::string>{"/busy", "/new"});
    f.pass(5s);
    busy.read_available();
    CHECK_FALSE(busy.peer_closed());
}

TEST_CASE("quiet connections stay open while there is room")
{
    short_of_sockets f;
    auto connections = f.connect(client_sockets / 2);
    f.pass(10s);
    CHECK(count_closed(connections) == 0);
}

} // namespace kumquatramp::eventloop
