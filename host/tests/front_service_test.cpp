// front_service between real sockets: what clients and targets exchange through
// it.
#include "front_fixture.hpp"
#include <array>
#include <catch2/catch.hpp>
#include <thread>

namespace kumquatramp::host
{

using testing::front_fixture;
using testing::refused;
using testing::request;
using testing::served;

// Guards against a request that is executed twice, or answered 503 although it
// was executed: a late copy of a target's refusal must not count as the answer
// to the second send of the same request.
TEST_CASE("a late copy of a refusal does not answer the next send")
{
    // With a limit of one the refused connection has to make room.
    int const max_connections = GENERATE(0, 1);
    CAPTURE(max_connections);
    front_fixture f(max_connections);
    auto& target = f.add_target("t1");
    auto client = f.connect_client();
    client.send(request("POST", "/once/x", "id-1", "order"));
    auto const first = f.await_request(target, "order");
    REQUIRE(first);
    target.connections[*first].clear();
    target.connections[*first].send(refused("id-1"));

    auto const second = f.await_request(target, "order");
    REQUIRE(second);
    target.connections[*second].clear();
    target.connections[*first].send(refused("id-1"));
    CHECK_FALSE(f.await_request(target, "order", 300));
    target.connections[*second].send(served("id-1"));
    auto const answer = client.receive_until(f.loop, "\r\n\r\n");
    CHECK(answer.substr(0, 12) == "HTTP/1.1 200");
}

// Guards against an order that is executed twice or answered with another one's
// answer: an extra answer of a faulty target, without an id or with another
// one, arrives where the next answer on its connection is due.
TEST_CASE("an answer without the request's id answers nothing")
{
    front_fixture f;
    std::array<testing::scripted_target*, 2> const targets{&f.add_target("t1"),
                                                           &f.add_target("t2")};
    auto client = f.connect_client();
    std::string const id_line =
        GENERATE("", "X-Request: id-0\r\n", "X-Request: \r\n");
    std::string const kind =
        GENERATE("503 Busy\r\nX-Refused: 1", "421 Misdirected",
                 "200 OK\r\nX-Stamp: s", "500 Error\r\nX-Stamp: s");
    std::string const extra =
        "HTTP/1.1 " + kind + "\r\n" + id_line + "Content-Length: 0\r\n\r\n";
    CAPTURE(extra);
    bool const once = GENERATE(true, false);
    std::string const path = once ? "/once/x" : "/read/x";
    client.send(request(once ? "POST" : "GET", path, "id-1"));
    std::optional<std::size_t> at;
    std::size_t chosen = 1;
    for (int turn = 0; turn < 100 && !at; ++turn)
    {
        chosen = 1 - chosen;
        at = f.await_request(*targets[chosen], path, 10);
    }
    REQUIRE(at);
    targets[chosen]->connections[*at].send(extra);
    auto const next = f.await_request(*targets[1 - chosen], path, 200);
    CHECK(next.has_value() == !once);
    if (next)
    {
        targets[1 - chosen]->connections[*next].send(served("id-1"));
    }
    auto const answer = client.receive_until(f.loop, "\r\n\r\n");
    CHECK(answer.substr(9, 3) == (once ? "502" : "200"));
}

// Guards against work for clients that have left while the event loop was held
// up: the close stands unread behind the request.
TEST_CASE(
    "a request is not passed on if its client left while the loop was held "
    "up")
{
    bool const leaves = GENERATE(true, false);
    CAPTURE(leaves);
    front_fixture f;
    auto& target = f.add_target("t1");
    auto client = f.connect_client();
    f.run(20);
    f.front.sweep();
    client.send(request("GET", "/read/x", "id-1"));
    if (leaves)
    {
        client.close();
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    CHECK(f.await_request(target, "/read/", 200).has_value() == !leaves);
}

// Guards against a refusal's body where the answer to a client's next request
// on the connection is due.
TEST_CASE("no answer that a host makes itself has a body if the method is HEAD")
{
    front_fixture f;
    auto client = f.connect_client();
    std::string const method = GENERATE("HEAD", "GET", "POST", "DELETE");
    std::string const path = GENERATE("/none/x", "/read/x", "/query/x");
    CAPTURE(method, path);
    for (int i = 0; i < 2; ++i)
    {
        client.send(request(method, path, "id-1"));
        auto const head = client.receive_until(f.loop, "\r\n\r\n");
        CHECK(head.substr(9, 3) == (path == "/none/x" ? "404" : "503"));
        f.run(5);
        auto const& text = client.received();
        auto const body = text.substr(text.find("\r\n\r\n") + 4);
        CHECK(body.empty() == (method == "HEAD"));
        client.clear();
    }
}

// Guards against a host whose memory grows with every request that it has
// answered, until it is killed.
TEST_CASE("a request that has ended is not held")
{
    front_fixture f;
    auto& target = f.add_target("t1");
    auto client = f.connect_client();
    auto const status = [&]
    { return client.receive_until(f.loop, "\r\n\r\n").substr(9, 3); };
    auto const await_target = [&](std::string_view text)
    {
        auto const at = f.await_request(target, text);
        REQUIRE(at);
        return *at;
    };
    SECTION("relayed")
    {
        client.send(request("POST", "/once/x", "id-1", "order"));
        target.connections[await_target("order")].send(served("id-1"));
        CHECK(status() == "200");
    }
    SECTION("a target's error relayed")
    {
        client.send(request("POST", "/once/x", "id-1", "order"));
        target.connections[await_target("order")].send(
            "HTTP/1.1 500 Error\r\nX-Request: id-1\r\nX-Stamp: s\r\n"
            "Content-Length: 0\r\n\r\n");
        CHECK(status() == "500");
    }
    SECTION("merged")
    {
        client.send(request("GET", "/query/x", "id-1"));
        target.connections[await_target("/query/")].send(
            served("id-1", std::string(16, 'r')));
        CHECK(status() == "200");
    }
    SECTION("refused by the target")
    {
        client.send(request("POST", "/once/x", "id-1", "order"));
        target.connections[await_target("order")].send(
            "HTTP/1.1 421 Misdirected\r\nX-Request: id-1\r\n"
            "Content-Length: 0\r\n\r\n");
        CHECK(status() == "503");
    }
    SECTION("failed")
    {
        client.send(request("POST", "/once/x", "id-1", "order"));
        target.connections[await_target("order")].close();
        CHECK(status() == "502");
    }
    SECTION("unknown path")
    {
        client.send(request("GET", "/other/x", "id-1"));
        CHECK(status() == "404");
    }
    SECTION("no target")
    {
        f.table.put({.id = "t1",
                     .service = "orders",
                     .address = target.address(),
                     .zone = "zone-a",
                     .draining = true},
                    f.time.now());
        client.send(request("GET", "/read/x", "id-1"));
        CHECK(status() == "503");
    }
    SECTION("no configuration")
    {
        f.front.engine().withdraw_catalogue();
        client.send(request("GET", "/read/x", "id-1"));
        CHECK(status() == "503");
    }
    SECTION("too late in a planned stop")
    {
        f.front.end_by(f.time.now() + 1ms);
        client.send(request("GET", "/read/x", "id-1"));
        CHECK(status() == "503");
    }
    SECTION("cut short by a planned stop")
    {
        client.send(request("POST", "/once/x", "id-1", "order"));
        auto const at = await_target("order");
        f.front.end_by(f.time.now() + 10ms);
        CHECK(status() == "504");
        target.connections[at].close();
    }
    SECTION("the client leaves before the answer")
    {
        client.send(request("GET", "/read/x", "id-1"));
        await_target("/read/");
        client.close();
    }
    SECTION("the client of a request that may run once leaves")
    {
        client.send(request("POST", "/once/x", "id-1", "order"));
        auto const at = await_target("order");
        client.close();
        f.run(20);
        CHECK(f.front.held_requests() == 0);
        target.connections[at].send(served("id-1"));
    }
    SECTION("the client leaves during the answer")
    {
        client.send(request("POST", "/once/x", "id-1", "order"));
        auto const at = await_target("order");
        std::string const answer = served("id-1", std::string(8'000'000, 'a'));
        for (std::string_view left = answer; !left.empty(); f.run(1))
        {
            left.remove_prefix(target.connections[at].send_some(left));
        }
        f.run(20);
        CHECK(f.front.server().unfinished_responses() == 1);
        client.reset();
    }
    f.run(50);
    CHECK(f.front.held_requests() == 0);
    CHECK(f.front.open_attempts() == 0);
    CHECK(f.front.engine().in_progress() == 0);
}

// Guards against an order that gets no answer until its deadline, because its
// target's status 000 was taken for an interim response.
TEST_CASE("a target's answer without a valid status is a failure at once")
{
    front_fixture f;
    auto& target = f.add_target("t1");
    auto client = f.connect_client();
    client.send(request("POST", "/once/x", "id-1", "order"));
    auto const at = f.await_request(target, "order");
    REQUIRE(at);
    target.connections[*at].send("HTTP/1.1 000 X\r\nX-Request: id-1\r\n"
                                 "X-Stamp: s\r\nContent-Length: 0\r\n\r\n");
    auto const answer = client.receive_until(f.loop, "\r\n\r\n");
    CHECK(answer.substr(9, 3) == "502");
    CHECK(answer.find("\"run\":\"unknown\"") != std::string::npos);
    CHECK(answer.find("X-Stamp") == std::string::npos);
    target.connections[*at].clear();
    CHECK_FALSE(f.await_request(target, "order", 50));
}

// Guards against a host whose memory fills with the bodies of requests that
// wait for targets that do not answer (review/6).
TEST_CASE("a request is refused while others hold the memory for its body")
{
    front_fixture f(0, 400'000);
    auto& target = f.add_target("t1");
    auto waiting = f.connect_client();
    waiting.send(request("POST", "/once/x", "id-1", std::string(200'000, 'b')));
    REQUIRE(f.await_request(target, "id-1"));
    std::size_t const held = f.budget.memory.used();
    CHECK(held >= 200'000);
    CHECK(held <= 300'000);

    auto refused_one = f.connect_client();
    refused_one.send(
        request("POST", "/once/x", "id-2", std::string(200'000, 'b')));
    auto const refusal = refused_one.receive_until(f.loop, "\r\n\r\n");
    CHECK(refusal.substr(9, 3) == "503");
    CHECK(refusal.find("Retry-After: 0.") != std::string::npos);
    CHECK(refusal.find("\"run\":\"not run\"") != std::string::npos);
    CHECK_FALSE(f.await_request(target, "id-2", 50));

    auto small = f.connect_client();
    small.send(request("POST", "/once/x", "id-3", "order"));
    auto const at = f.await_request(target, "id-3");
    REQUIRE(at);
    target.connections[*at].send(served("id-3"));
    CHECK(small.receive_until(f.loop, "done").substr(9, 3) == "200");

    waiting.close();
    small.close();
    refused_one.close();
    for (auto& c : target.connections)
    {
        c.close();
    }
    f.run(50);
    CHECK(f.budget.memory.used() == 0);
}

} // namespace kumquatramp::host
