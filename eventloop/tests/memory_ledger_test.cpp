// Tests memory_ledger, and what http_server refuses when memory is short.
#include "server_fixture.hpp"
#include <catch2/catch.hpp>
#include <eventloop/process_budget.hpp>

namespace kumquatramp::eventloop
{

using testing::server_fixture;

namespace
{

constexpr std::size_t capacity = 400'000;
constexpr std::size_t body_bytes = 200'000;

struct short_of_memory : server_fixture
{
    short_of_memory()
        : server_fixture(capacity)
    {
        serving::edge_limits limits;
        limits.body_bytes = body_bytes;
        server.set_limits(limits);
    }

    void pass(duration time_passed)
    {
        time.at += time_passed;
        server.sweep();
    }
};

std::string head(std::string const& target, std::string const& framing)
{
    return "POST " + target + " HTTP/1.1\r\n" + framing + "\r\n\r\n";
}

std::string const with_length = "Content-Length: " + std::to_string(body_bytes);
std::string const body(body_bytes, 'b');

} // namespace

TEST_CASE("a charge is limited by its use and taken back at its end")
{
    memory_ledger ledger(1000);
    memory_charge large(ledger);
    CHECK_FALSE(large.try_resize(800, memory_use::large));
    CHECK(large.try_resize(700, memory_use::large));
    {
        memory_charge small(ledger);
        CHECK_FALSE(small.try_resize(301, memory_use::small));
        CHECK(small.try_resize(300, memory_use::small));
        CHECK(ledger.used() == 1000);
        CHECK(ledger.is_short());
        CHECK_FALSE(large.try_resize(701, memory_use::large));
        CHECK(large.try_resize(650, memory_use::large));
        small.resize(5000);
        CHECK(ledger.used() == 5650);
    }
    CHECK(ledger.used() == 650);
    CHECK(ledger.shortage() == 50);
    CHECK_FALSE(ledger.is_short());
    CHECK(ledger.refusals() == 3);
    memory_charge const moved(std::move(large));
    CHECK(ledger.used() == 650);
}

// Guards against a crowd that ends the process: bodies that stop before their
// end stay in memory.
TEST_CASE("a large body is refused while others hold the memory for it")
{
    short_of_memory f;
    auto first = f.client();
    SECTION("by the length that it declares")
    {
        first.send(head("/1", with_length) + "b");
    }
    SECTION("by what has arrived in chunks")
    {
        first.send(head("/1", "Transfer-Encoding: chunked") + "30000\r\n" +
                   body.substr(0, 0x2fff0));
    }
    f.run(20);
    auto second = f.client();
    second.send(head("/2", with_length) + body);
    second.receive_until(f.loop, "400");
    CHECK(f.rejected == std::vector<error_kind>{error_kind::overloaded});
    CHECK(f.server.memory_refusals() == 1);

    auto small = f.client();
    small.send("GET /3 HTTP/1.1\r\n\r\n");
    small.receive_until(f.loop, "/3");
    CHECK(f.targets == std::vector<std::string>{"/3"});
}

TEST_CASE("a chunked body is refused when it outgrows the memory")
{
    short_of_memory f;
    auto first = f.client();
    first.send(head("/1", with_length) + "b");
    f.run(20);
    auto second = f.client();
    second.send(head("/2", "Transfer-Encoding: chunked") + "10\r\n" +
                body.substr(0, 0x10) + "\r\n");
    f.run(20);
    CHECK(f.rejected.empty());
    second.send("30000\r\n" + body.substr(0, 0x30000) + "\r\n0\r\n\r\n");
    second.receive_until(f.loop, "400");
    CHECK(f.rejected == std::vector<error_kind>{error_kind::overloaded});
}

TEST_CASE("memory that is short is taken from a body that has stopped")
{
    short_of_memory f;
    auto slow = f.client();
    slow.send(head("/1", with_length) + body.substr(0, 150'000));
    f.run(20);
    auto idle = f.client();
    f.run(5);
    f.pass(900ms);
    CHECK(f.rejected.empty());
    bool const is_short = GENERATE(false, true);
    CAPTURE(is_short);
    memory_charge other(f.budget.memory);
    other.resize(is_short ? 100'000 : 0);
    f.pass(200ms);
    f.run(5);
    CHECK(f.rejected == (is_short
                             ? std::vector<error_kind>{error_kind::overloaded}
                             : std::vector<error_kind>{}));
    idle.send("GET /2 HTTP/1.1\r\n\r\n");
    idle.receive_until(f.loop, "/2");
    CHECK(f.targets == std::vector<std::string>{"/2"});
}

TEST_CASE("memory that is short is not taken from a body that arrives fast")
{
    short_of_memory f;
    auto fast = f.client();
    fast.send(head("/1", with_length));
    f.run(5);
    memory_charge other(f.budget.memory);
    other.resize(150'000);
    for (std::size_t at = 0; at < body_bytes; at += 20'000)
    {
        fast.send(std::string_view(body).substr(at, 20'000));
        f.run(2);
        f.pass(500ms);
    }
    fast.receive_until(f.loop, "/1");
    CHECK(f.rejected.empty());
    CHECK(f.targets == std::vector<std::string>{"/1"});
}

TEST_CASE("a connection that ends returns its memory")
{
    short_of_memory f;
    auto c = f.client();
    c.send(head("/1", with_length) + body.substr(0, 150'000));
    f.run(20);
    CHECK(f.budget.memory.used() > body_bytes);
    SECTION("closed by the client")
    {
        c.close();
        f.run(20);
    }
    SECTION("closed by the server")
    {
        f.server.close_all();
        f.run(5);
    }
    CHECK(f.budget.memory.used() == 0);
}

TEST_CASE("a connection for which there is no memory is closed")
{
    short_of_memory f;
    memory_charge other(f.budget.memory);
    other.resize(capacity);
    auto c = f.client();
    f.run(10);
    c.read_available();
    CHECK(c.peer_closed());
    CHECK(f.server.connections() == 0);
}

// Guards against clients that fill a host with answers that they do not read.
TEST_CASE("memory that is short is taken from a response that is not read")
{
    short_of_memory f;
    f.respond_immediately = false;
    auto c = f.client();
    c.send("GET /1 HTTP/1.1\r\n\r\n");
    f.run(10);
    f.server.respond(f.open, testing::ok(std::string(8'000'000, 'r')), false);
    f.run(5);
    CHECK(f.budget.memory.used() >= 8'000'000);
    f.pass(4s);
    f.run(5);
    CHECK(f.server.connections() == 1);
    bool const reads = GENERATE(false, true);
    CAPTURE(reads);
    for (int i = 0; i < 200 && reads && f.budget.memory.is_short(); ++i)
    {
        c.read_available();
        f.run(1);
    }
    f.pass(2s);
    f.run(5);
    CHECK(f.server.closed_for_room() == (reads ? 0 : 1));
    CHECK(f.server.connections() == (reads ? 1 : 0));
    CHECK(f.budget.memory.used() <= 100'000);
}

} // namespace kumquatramp::eventloop
