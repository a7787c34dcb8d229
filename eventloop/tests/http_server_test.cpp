// Tests http_server over real sockets.
#include "server_fixture.hpp"
#include <algorithm>
#include <asio/post.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <sys/resource.h>

namespace kumquatramp::eventloop
{

using testing::ok;

namespace
{

struct fixture : testing::server_fixture
{
    fixture()
    {
        serving::edge_limits limits;
        limits.header_bytes = 500;
        limits.body_bytes = 100;
        limits.header_timeout = 60ms;
        limits.idle_timeout = 150ms;
        limits.message_timeout = 120ms;
        limits.write_timeout = 100ms;
        limits.header_lines = 8;
        limits.connections = 3;
        server.set_limits(limits);
    }
};

} // namespace

TEST_CASE("a connection serves several requests in succession")
{
    fixture f;
    auto c = f.client();
    c.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
    c.receive_until(f.loop, "/1");
    c.send("POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx");
    c.receive_until(f.loop, "/2x");
    CHECK(f.targets == std::vector<std::string>{"/1", "/2"});
    CHECK_FALSE(c.peer_closed());
}

// Guards against a body where the next answer on the connection is due.
TEST_CASE("no answer to HEAD has a body")
{
    fixture f;
    auto c = f.client();
    c.send("HEAD /1 HTTP/1.1\r\nHost: h\r\n\r\n"
           "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
    auto const text = c.receive_until(f.loop, "/2");
    auto const head = ok("/1").substr(0, ok("/1").find("\r\n\r\n") + 4);
    CHECK(text == head + ok("/2"));
    c.clear();
    // A refusal before the handler has the request.
    c.send("HEAD /3 HTTP/1.1\r\nHost: h\r\nContent-Length: 101\r\n\r\n");
    f.rejection_body = "refused";
    auto const refusal = c.receive_until(f.loop, "\r\n\r\n");
    CHECK(f.rejected.size() == 1);
    CHECK(refusal.ends_with("\r\n\r\n"));
}

// Guards against connections that are idle while the limits change and then
// refuse what the new ones allow, or take what they do not.
TEST_CASE("the next request on a connection is read under the newest limits")
{
    fixture f;
    auto c = f.client();
    auto const post = [](std::size_t size)
    {
        return "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: " +
               std::to_string(size) + "\r\n\r\n" + std::string(size, 'x');
    };
    serving::edge_limits limits;
    bool const used_before = GENERATE(false, true);
    CAPTURE(used_before);
    if (used_before)
    {
        c.send(post(1));
        c.receive_until(f.loop, "/1x");
        c.clear();
    }
    else
    {
        f.run(5);
    }
    SECTION("raised")
    {
        limits.body_bytes = 200;
        f.server.set_limits(limits);
        c.send(post(150));
        c.receive_until(f.loop, "/1xxx");
        CHECK(f.rejected.empty());
    }
    SECTION("lowered")
    {
        limits.body_bytes = 50;
        f.server.set_limits(limits);
        c.send(post(80));
        c.receive_until(f.loop, "400");
        CHECK(f.rejected ==
              std::vector<error_kind>{error_kind::body_too_large});
    }
    SECTION("lowered within a request, which keeps those it began with")
    {
        std::string const whole = post(80);
        c.send(whole.substr(0, whole.size() - 70));
        f.run(5);
        limits.body_bytes = 50;
        f.server.set_limits(limits);
        c.send(whole.substr(whole.size() - 70));
        c.receive_until(f.loop, "/1xxx");
        CHECK(f.rejected.empty());
    }
}

TEST_CASE("pipelined requests are answered in order")
{
    fixture f;
    auto c = f.client();
    c.send("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\nGET /3 "
           "HTTP/1.1\r\n\r\n");
    auto const all = c.receive_until(f.loop, "/3");
    CHECK(all.find("/1") < all.find("/2"));
    CHECK(all.find("/2") < all.find("/3"));
}

// Guards against a connection that is never read again: reading had stopped
// while the first response was being written, since much had been pipelined.
TEST_CASE("a large request pipelined behind an unread response is answered")
{
    fixture f;
    std::string const body(200'000, 'b');
    serving::edge_limits limits;
    limits.body_bytes = body.size();
    f.server.set_limits(limits);
    f.respond_immediately = false;
    auto c = f.client();
    std::string ahead = "GET /1 HTTP/1.1\r\n\r\nPOST /2 HTTP/1.1\r\n"
                        "Content-Length: " +
                        std::to_string(body.size()) + "\r\n\r\n" + body;
    auto const send_ahead = [&]
    {
        ahead.erase(0, ahead.empty() ? 0 : c.send_some(ahead));
        f.run(1);
    };
    for (int i = 0; i < 50; ++i)
    {
        send_ahead();
    }
    f.server.respond(f.open, ok(std::string(8'000'000, 'r')), false);
    for (int i = 0; i < 50; ++i)
    {
        send_ahead();
    }
    f.respond_immediately = true;
    for (int i = 0; i < 5000 && f.targets.size() < 2; ++i)
    {
        c.read_available();
        send_ahead();
    }
    CHECK(f.targets == std::vector<std::string>{"/1", "/2"});
}

// Guards against a crowd that delays gossip, the store's watch and readiness:
// it may do only so much before other work of the loop has its turn.
TEST_CASE("pipelined requests and large bodies leave turns to other work")
{
    testing::server_fixture f;
    std::size_t most_in_turn = 0;
    std::size_t before = 0;
    std::function<void()> turn = [&]
    {
        most_in_turn = std::max(most_in_turn, f.targets.size() - before);
        before = f.targets.size();
        asio::post(f.loop, turn);
    };
    std::vector<testing::raw_socket> clients;
    auto const await_requests = [&](std::size_t count)
    {
        asio::post(f.loop, turn);
        for (int i = 0; i < 2000 && f.targets.size() < count; ++i)
        {
            f.loop.restart();
            f.loop.run_for(std::chrono::milliseconds(1));
        }
        turn = [] {};
        CHECK(f.targets.size() == count);
    };
    SECTION("requests")
    {
        constexpr std::size_t count = 400;
        std::string ahead;
        for (std::size_t i = 0; i < count; ++i)
        {
            ahead += "GET / HTTP/1.1\r\n\r\n";
        }
        clients.push_back(f.client());
        clients.back().send(ahead);
        await_requests(count);
        CHECK(most_in_turn <= 16);
    }
    SECTION("bodies")
    {
        std::string chunks;
        for (int i = 0; i < 1000; ++i)
        {
            chunks += "1\r\nb\r\n";
        }
        for (int i = 0; i < 12; ++i)
        {
            clients.push_back(f.client());
            clients.back().send(
                "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n");
        }
        f.run(10);
        for (auto& c : clients)
        {
            c.send(chunks + "0\r\n\r\n");
        }
        await_requests(clients.size());
        CHECK(most_in_turn <= 4);
    }
}

TEST_CASE("a client that disconnects before its response is reported once")
{
    fixture f;
    f.respond_immediately = false;
    SECTION("orderly close")
    {
        auto c = f.client();
        c.send("GET /1 HTTP/1.1\r\n\r\n");
        f.run(20);
        c.close();
        f.run(20);
    }
    SECTION("reset")
    {
        auto c = f.client();
        c.send("GET /1 HTTP/1.1\r\n\r\n");
        f.run(20);
        c.reset();
        f.run(20);
    }
    CHECK(f.disconnects == 1);
    f.server.respond(f.open, ok("late"), false);
    f.run(5);
    CHECK(f.server.connections() == 0);
}

TEST_CASE("invalid input is rejected and the connection is closed")
{
    fixture f;
    auto c = f.client();
    SECTION("not HTTP")
    {
        c.send("\x16\x03\x01 hello\r\n\r\n");
    }
    SECTION("both Content-Length and chunked encoding")
    {
        c.send("POST / HTTP/1.1\r\nContent-Length: 4\r\nTransfer-Encoding: "
               "chunked\r\n\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\n\r\n");
    }
    SECTION("headers exceed the size limit")
    {
        c.send("GET / HTTP/1.1\r\nX: " + std::string(600, 'x'));
    }
    SECTION("body exceeds the size limit")
    {
        c.send("POST / HTTP/1.1\r\nContent-Length: 1000\r\n\r\n" +
               std::string(1000, 'x'));
    }
    SECTION("too many headers")
    {
        c.send("GET / HTTP/1.1\r\na:1\r\nb:1\r\nc:1\r\nd:1\r\ne:1\r\nf:1\r\ng:1"
               "\r\nh:1\r\ni:1\r\n\r\n");
    }
    SECTION("headers exceed the time limit")
    {
        c.send("GET / HTT");
        f.run(80);
    }
    SECTION("body arrives too slowly")
    {
        c.send("POST / HTTP/1.1\r\nContent-Length: 90\r\n\r\n");
        for (int i = 0; i < 8; ++i)
        {
            c.send("x");
            f.run(20);
        }
    }
    c.receive_until(f.loop, "400");
    f.run(30);
    c.read_available();
    CHECK(c.received().find("400") != std::string::npos);
    CHECK(c.peer_closed());
    CHECK(f.targets.empty());
    CHECK(f.rejected.size() == 1);
}

TEST_CASE("an idle connection is closed after the idle timeout and not before")
{
    fixture f;
    auto c = f.client();
    c.send("GET /1 HTTP/1.1\r\n\r\n");
    c.receive_until(f.loop, "/1");
    f.run(149);
    c.read_available();
    CHECK_FALSE(c.peer_closed());
    f.run(2);
    c.read_available();
    CHECK(c.peer_closed());
}

TEST_CASE("Connection: close takes effect after the complete response")
{
    fixture f;
    auto c = f.client();
    c.send("GET /1 HTTP/1.1\r\nConnection: close\r\n\r\nleft over");
    c.receive_until(f.loop, "never", 50);
    CHECK(c.received() == ok("/1"));
    CHECK(c.peer_closed());
}

TEST_CASE("Expect: 100-continue is answered with 100 Continue")
{
    fixture f;
    auto c = f.client();
    c.send("POST /1 HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: "
           "1\r\n\r\n");
    c.receive_until(f.loop, "100 Continue");
    CHECK(f.targets.empty());
    c.send("x");
    c.receive_until(f.loop, "/1x");
    CHECK(f.targets.size() == 1);
}

TEST_CASE("a response larger than the socket buffer is written completely")
{
    fixture f;
    f.respond_immediately = false;
    auto c = f.client();
    c.send("GET /1 HTTP/1.1\r\n\r\n");
    f.run(10);
    std::string const body(8'000'000, 'b');
    f.server.respond(f.open, ok(body), false);
    for (int i = 0; i < 2000 && c.received().size() < body.size(); ++i)
    {
        f.run(1);
        c.read_available();
    }
    CHECK(c.received() == ok(body));
}

// Guards against a process that spins while it has no descriptors left.
TEST_CASE("a lack of descriptors pauses accepting and then it resumes")
{
    fixture f;
    auto c = f.client();
    rlimit before{};
    REQUIRE(getrlimit(RLIMIT_NOFILE, &before) == 0);
    rlimit none = before;
    none.rlim_cur = 0;
    REQUIRE(setrlimit(RLIMIT_NOFILE, &none) == 0);
    for (int i = 0; i < 200; ++i)
    {
        f.run(1);
    }
    REQUIRE(setrlimit(RLIMIT_NOFILE, &before) == 0);
    CHECK(f.server.accept_failures() >= 1);
    CHECK(f.server.accept_failures() <= 20);
    c.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
    c.receive_until(f.loop, "/1");
    CHECK(f.targets == std::vector<std::string>{"/1"});
}

TEST_CASE("a connection above the limit is refused and the others continue")
{
    fixture f;
    auto first = f.client();
    auto second = f.client();
    auto third = f.client();
    f.run(5);
    auto fourth = f.client();
    fourth.receive_until(f.loop, "400");
    CHECK(f.rejected == std::vector<error_kind>{error_kind::overloaded});
    first.send("GET /1 HTTP/1.1\r\n\r\n");
    first.receive_until(f.loop, "/1");
    CHECK(f.targets.size() == 1);
}

TEST_CASE("a response counts as unfinished until it is written to the socket")
{
    fixture f;
    f.respond_immediately = false;
    auto c = f.client();
    c.send("GET /1 HTTP/1.1\r\n\r\n");
    f.run(10);
    CHECK(f.server.unfinished_responses() == 1);
    std::string const body(8'000'000, 'b');
    f.server.respond(f.open, ok(body), false);
    f.run(5);
    CHECK(f.server.open_exchanges() == 0);
    CHECK(f.server.unfinished_responses() == 1);
    SECTION("a client that reads receives it completely")
    {
        for (int i = 0; i < 2000 && c.received().size() < body.size(); ++i)
        {
            f.run(1);
            c.read_available();
        }
        CHECK(c.received() == ok(body));
        CHECK(f.server.unfinished_responses() == 0);
    }
    SECTION("a client that does not read is disconnected")
    {
        f.run(150);
        CHECK(f.server.unfinished_responses() == 0);
        CHECK(f.server.connections() == 0);
    }
}

TEST_CASE("a closing server closes each connection after its response")
{
    fixture f;
    auto c = f.client();
    f.server.set_closing();
    c.send("GET /1 HTTP/1.1\r\n\r\n");
    c.receive_until(f.loop, "never", 30);
    CHECK(c.received() == ok("/1"));
    CHECK(c.peer_closed());
}

} // namespace kumquatramp::eventloop
