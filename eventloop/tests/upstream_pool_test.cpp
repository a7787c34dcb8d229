// Tests upstream_pool against a scripted target: outcomes of attempts and reuse
// of connections.
#include "raw_socket.hpp"
#include <catch2/catch.hpp>
#include <eventloop/boot_clock.hpp>
#include <eventloop/http_message.hpp>
#include <eventloop/outgoing_request.hpp>
#include <eventloop/process_budget.hpp>
#include <eventloop/upstream_pool.hpp>
#include <map>
#include <optional>
#include <serving/target.hpp>
#include <thread>

namespace kumquatramp::eventloop
{

using testing::raw_socket;

namespace
{

struct attempt_end
{
    send_outcome outcome;
    std::string body;
    std::string cause;
    serving::connection_id connection;
};

struct fixture : upstream_client
{
    explicit fixture(std::size_t sockets = socket_budget::unlimited)
        : budget{.memory = memory_ledger(), .sockets = socket_budget(sockets)}
        , acceptor(loop, {asio::ip::make_address("127.0.0.1"), 0})
    {
        to->record.id = "t1";
        to->record.address =
            "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
        acceptor.non_blocking(true);
    }

    outgoing_request serialize_request(serving::attempt_handle attempt) override
    {
        return {wanted ? "GET /" + std::to_string(attempt) +
                             " HTTP/1.1\r\nX-Id: " + std::to_string(attempt) +
                             "\r\n\r\n" + extra
                       : "",
                shared_body};
    }
    bool matches_request(serving::attempt_handle attempt,
                         http_message const& answer) override
    {
        auto const id = answer.header("X-Id");
        return id.empty() || id == std::to_string(attempt);
    }
    void on_end(serving::attempt_handle attempt, send_outcome outcome,
                http_message* answer, char const* cause,
                serving::connection_id connection) override
    {
        CHECK_FALSE(ends.contains(attempt));
        ends[attempt] = {outcome, answer != nullptr ? answer->body : "", cause,
                         connection};
    }
    void on_connection_lost(serving::target const&) override { ++losses; }

    void start(serving::attempt_handle attempt, bool repeatable = true,
               int limit = 4, std::vector<serving::connection_id> excluded = {})
    {
        pool.start({.attempt = attempt,
                    .request = attempt,
                    .to = to,
                    .connection_limit = limit,
                    .deadline = time.now() + 1s,
                    .repeatable = repeatable,
                    .excluded_connections = std::move(excluded)},
                   false);
    }

    void run(int ms)
    {
        for (int i = 0; i < ms; ++i)
        {
            loop.restart();
            loop.run_for(std::chrono::milliseconds(1));
            pool.sweep();
        }
    }

    /// Accepts the next connection from the pool; std::nullopt after
    /// `timeout_ms`.
    std::optional<raw_socket> accept(int timeout_ms = 200)
    {
        for (int i = 0; i < timeout_ms; ++i)
        {
            run(1);
            asio::error_code failed;
            asio::ip::tcp::socket socket(loop);
            acceptor.accept(socket, failed);
            if (!failed)
            {
                return raw_socket(std::move(socket));
            }
        }
        return std::nullopt;
    }

    send_outcome outcome(serving::attempt_handle attempt)
    {
        for (int i = 0; i < 1000 && !ends.contains(attempt); ++i)
        {
            run(1);
        }
        REQUIRE(ends.contains(attempt));
        return ends.at(attempt).outcome;
    }

    process_budget budget;
    asio::io_context loop{1};
    boot_clock time;
    asio::ip::tcp::acceptor acceptor;
    upstream_pool pool{loop, time, *this, &budget};
    std::shared_ptr<serving::target> to = std::make_shared<serving::target>();
    std::map<serving::attempt_handle, attempt_end> ends;
    bool wanted = true;
    int losses = 0;
    std::string extra;
    std::shared_ptr<std::string const> shared_body;
};

std::string ok(std::string const& body, std::string const& headers = "")
{
    return "HTTP/1.1 200 OK\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Starts an attempt and returns the target's socket once the request has
/// arrived.
raw_socket start_and_accept(fixture& f, serving::attempt_handle attempt)
{
    f.start(attempt);
    auto target = f.accept();
    REQUIRE(target);
    target->receive_until(f.loop, "\r\n\r\n");
    return std::move(*target);
}

} // namespace

// Guards against a response that ends within its head and is passed on as
// whole.
TEST_CASE("an attempt whose response ends within its head is not answered")
{
    std::string const head = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n";
    std::size_t const length = GENERATE(1U, 9U, 15U, 17U, 20U, 26U, 27U);
    CAPTURE(length);
    fixture f;
    auto target = start_and_accept(f, 1);
    target.send(head.substr(0, length));
    f.run(5);
    target.close();
    CHECK(f.outcome(1) == send_outcome::invalid_response);
}

// Guards against a target whose bytes never end: they must not fill the memory,
// nor occupy the connection for longer than a bounded response takes.
TEST_CASE("a response without end is cut off")
{
    constexpr std::size_t most = 48U << 20U;
    std::string const chunk(65536, 'a');
    std::string start = "HTTP/1.1 200 OK\r\n";
    std::string repeated = chunk;
    SECTION("in a header value")
    {
        start += "X-Long: ";
    }
    SECTION("in a header name") {}
    SECTION("in the reason phrase")
    {
        start = "HTTP/1.1 200 ";
    }
    SECTION("in header lines")
    {
        repeated = "X-Line: 1\r\n";
    }
    SECTION("before the start line")
    {
        start = "";
        repeated = "\r\n\r\n\r\n\r\n";
    }
    SECTION("in bytes that are no HTTP")
    {
        start = "";
    }
    SECTION("in interim responses")
    {
        start = "";
        repeated = "HTTP/1.1 100 Continue\r\n\r\n";
    }
    SECTION("in a body without length")
    {
        start += "\r\n";
    }
    SECTION("in chunks")
    {
        start += "Transfer-Encoding: chunked\r\n\r\n";
        repeated = "10000\r\n" + chunk + "\r\n";
    }
    SECTION("in a chunk extension")
    {
        start += "Transfer-Encoding: chunked\r\n\r\n5;";
    }
    SECTION("in trailers")
    {
        start += "Transfer-Encoding: chunked\r\n\r\n0\r\n";
        repeated = "X-Line: 1\r\n";
    }
    while (repeated.size() < chunk.size())
    {
        repeated += repeated;
    }
    fixture f;
    auto target = start_and_accept(f, 1);
    target.send(start);
    std::size_t sent = 0;
    while (!f.ends.contains(1) && sent < most)
    {
        sent += target.send_some(repeated);
        f.loop.restart();
        f.loop.poll();
    }
    REQUIRE(f.ends.contains(1));
    CHECK(f.ends.at(1).outcome == send_outcome::invalid_response);
    CHECK(f.pool.stats().open == 0);
}

// Guards against several endless responses that together fill the memory.
TEST_CASE("the bodies of all responses in progress are bounded in sum")
{
    fixture f;
    constexpr serving::attempt_handle endless = 8;
    std::vector<raw_socket> targets;
    for (serving::attempt_handle i = 1; i <= endless + 1; ++i)
    {
        f.start(i, true, 16);
        targets.push_back(std::move(*f.accept()));
        targets.back().receive_until(f.loop, "\r\n\r\n");
    }
    std::string const chunk(65536, 'a');
    for (auto& t : targets)
    {
        t.send("HTTP/1.1 200 OK\r\nContent-Length: 8000000\r\n\r\n");
    }
    for (int round = 0; round < 110; ++round)
    {
        // The last target sends a small part of its response only.
        for (std::size_t i = 0; i < endless; ++i)
        {
            targets[i].send_some(chunk);
            f.loop.restart();
            f.loop.poll();
        }
    }
    CHECK(f.pool.stats().buffered_bytes <= 33U << 20U);
    CHECK(f.ends.size() >= 3);
    CHECK_FALSE(f.ends.contains(endless + 1));
}

// Guards against a memory filled by heads: each may be within its own limit.
TEST_CASE("the heads of all responses in progress are bounded in sum")
{
    fixture f;
    constexpr serving::attempt_handle endless = 400;
    std::vector<raw_socket> targets;
    for (serving::attempt_handle i = 1; i <= endless; ++i)
    {
        f.start(i, true, endless);
        targets.push_back(std::move(*f.accept()));
    }
    std::string head = "HTTP/1.1 200 OK\r\n";
    SECTION("in header lines")
    {
        for (int i = 0; i < 900; ++i)
        {
            head += "X-Line: " + std::string(60, 'a') + "\r\n";
        }
    }
    SECTION("in interim responses")
    {
        std::string const line = "X-Line: " + std::string(60, 'a') + "\r\n";
        head = "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 102 Processing\r\n";
        for (int i = 0; i < 900; ++i)
        {
            head += line;
        }
    }
    for (auto& t : targets)
    {
        std::string_view left = head;
        // Ends early for a connection that the pool has closed.
        for (int i = 0; i < 100 && !left.empty(); ++i)
        {
            left.remove_prefix(t.send_some(left));
            f.loop.restart();
            f.loop.poll();
        }
    }
    f.run(5);
    CHECK(f.pool.stats().buffered_bytes <= 33U << 20U);
    CHECK_FALSE(f.ends.empty());
    CHECK(f.ends.size() < endless);
}

TEST_CASE("a connection is reused")
{
    fixture f;
    auto target = start_and_accept(f, 1);
    target.send(ok("a"));
    CHECK(f.outcome(1) == send_outcome::answered);
    f.start(2);
    target.receive_until(f.loop, "GET /2");
    target.send(ok("b"));
    CHECK(f.outcome(2) == send_outcome::answered);
    CHECK(f.ends.at(2).body == "b");
    CHECK(f.pool.stats().opened == 1);
}

TEST_CASE("a response is parsed wherever its bytes are split")
{
    std::string const bytes = "HTTP/1.1 200 OK\r\nTransfer-Encoding: "
                              "chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
    for (std::size_t cut = 1; cut < bytes.size(); cut += 5)
    {
        fixture f;
        auto target = start_and_accept(f, 1);
        target.send(bytes.substr(0, cut));
        f.run(2);
        target.send(bytes.substr(cut));
        CHECK(f.outcome(1) == send_outcome::answered);
        CHECK(f.ends.at(1).body == "abc");
    }
}

TEST_CASE("surplus bytes after a response close the connection")
{
    fixture f;
    auto target = start_and_accept(f, 1);
    SECTION("together with the response")
    {
        target.send(ok("a") + ok("b"));
        CHECK(f.outcome(1) == send_outcome::answered);
        CHECK(f.ends.at(1).body == "a");
    }
    SECTION("while the connection is idle")
    {
        target.send(ok("a"));
        CHECK(f.outcome(1) == send_outcome::answered);
        target.send(ok("b"));
        f.run(20);
    }
    CHECK(f.pool.stats().open == 0);
}

TEST_CASE("a duplicate response is not accepted for the next request")
{
    fixture f;
    auto target = start_and_accept(f, 1);
    target.send(ok("a", "X-Id: 1\r\n"));
    CHECK(f.outcome(1) == send_outcome::answered);
    f.start(2);
    target.receive_until(f.loop, "GET /2");
    target.send(ok("a again", "X-Id: 1\r\n"));
    CHECK(f.outcome(2) == send_outcome::invalid_response);
    CHECK(f.pool.stats().open == 0);
}

// Guards against a second send of a request on the connection that delivered
// the refusal of the first: a late copy of it could not be told from the
// answer.
TEST_CASE("an attempt is not sent on a connection that it excludes")
{
    fixture f;
    auto target = start_and_accept(f, 1);
    target.send(ok("a"));
    REQUIRE(f.outcome(1) == send_outcome::answered);
    auto const used = f.ends.at(1).connection;
    REQUIRE(used != 0);
    SECTION("another one is opened and both stay in use")
    {
        f.start(2, true, 4, {used});
        auto other = f.accept();
        REQUIRE(other);
        other->receive_until(f.loop, "GET /2");
        other->send(ok("b"));
        CHECK(f.outcome(2) == send_outcome::answered);
        CHECK(f.ends.at(2).connection != used);
        CHECK(f.pool.stats().idle == 2);
    }
    SECTION("it makes room for another one at the connection limit")
    {
        f.start(2, true, 1, {used});
        auto other = f.accept();
        REQUIRE(other);
        other->receive_until(f.loop, "GET /2");
        other->send(ok("b"));
        CHECK(f.outcome(2) == send_outcome::answered);
        CHECK(f.pool.stats().open == 1);
    }
    SECTION("attempts that do not exclude it still use it")
    {
        f.start(2);
        target.receive_until(f.loop, "GET /2");
        CHECK(f.pool.stats().opened == 1);
    }
}

TEST_CASE("an attempt without a complete response may have been executed")
{
    fixture f;
    auto target = start_and_accept(f, 1);
    auto expected = send_outcome::invalid_response;
    SECTION("closed before the response")
    {
        target.close();
        expected = send_outcome::broken;
    }
    SECTION("reset before the response")
    {
        target.reset();
        expected = send_outcome::broken;
    }
    SECTION("closed within the headers")
    {
        target.send("HTTP/1.1 200 O");
        target.close();
    }
    SECTION("closed within the body")
    {
        target.send("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc");
        target.close();
    }
    SECTION("reset within a response without a length")
    {
        target.send("HTTP/1.1 200 OK\r\n\r\nabc");
        f.run(5);
        target.reset();
    }
    SECTION("not an HTTP response")
    {
        target.send("\x01\x02 garbage garbage\r\n\r\n");
    }
    CHECK(f.outcome(1) == expected);
    CHECK_FALSE(certainly_unsent(expected));
    CHECK(f.pool.stats().open == 0);
}

TEST_CASE("a response without a length is complete when its connection closes")
{
    fixture f;
    auto target = start_and_accept(f, 1);
    target.send("HTTP/1.1 200 OK\r\n\r\nabc");
    target.close();
    CHECK(f.outcome(1) == send_outcome::answered);
    CHECK(f.ends.at(1).body == "abc");
}

TEST_CASE("a premature response prevents reuse of the connection")
{
    fixture f;
    f.extra.resize(16'000'000, 'b');
    f.start(1);
    auto target = f.accept();
    REQUIRE(target);
    f.run(5);
    target->send(ok("early"));
    CHECK(f.outcome(1) == send_outcome::answered);
    CHECK(f.pool.stats().open == 0);
}

// Guards against a lack of descriptors that counts as failures of targets.
TEST_CASE("a request waits for a socket, and takes that of an idle connection")
{
    constexpr std::size_t one_for_targets = 33;
    fixture f(one_for_targets);
    auto target = start_and_accept(f, 1);
    f.start(2);
    CHECK_FALSE(f.accept(30));
    CHECK(f.ends.empty());
    target.send(ok("first"));
    CHECK(f.outcome(1) == send_outcome::answered);
    target.clear();
    target.receive_until(f.loop, "/2 ");
    target.send(ok("second"));
    CHECK(f.outcome(2) == send_outcome::answered);

    auto const other = std::make_shared<serving::target>();
    other->record = f.to->record;
    other->record.id = "t2";
    f.to = other;
    auto const second = start_and_accept(f, 3);
    f.run(5);
    target.read_available();
    CHECK(target.peer_closed());
    CHECK(f.budget.sockets.open() == 1);
}

TEST_CASE("a response without a valid status ends the attempt at once")
{
    fixture f;
    auto target = start_and_accept(f, 1);
    char const* const status = GENERATE("000", "00200", "101", "700");
    CAPTURE(status);
    target.send("HTTP/1.1 " + std::string(status) +
                " X\r\nX-Id: 1\r\nContent-Length: 0\r\n\r\n");
    CHECK(f.outcome(1) == send_outcome::invalid_response);
    CHECK(f.pool.stats().open == 0);
}

TEST_CASE("a body is shared with the connection and written whole")
{
    fixture f;
    std::string const text = []
    {
        std::string digits;
        for (int i = 0; digits.size() < 6'000'000; ++i)
        {
            digits += std::to_string(i);
        }
        return digits;
    }();
    f.shared_body = std::make_shared<std::string const>(text);
    f.start(1);
    auto target = f.accept();
    REQUIRE(target);
    f.run(20);
    CHECK(f.shared_body.use_count() == 2);
    for (int i = 0; i < 3000 && !target->received().ends_with(text); ++i)
    {
        target->read_available();
        f.run(1);
    }
    CHECK(target->received().ends_with("\r\n\r\n" + text));
    CHECK(f.shared_body.use_count() == 1);
    target->send(ok("done"));
    CHECK(f.outcome(1) == send_outcome::answered);
    CHECK(f.pool.stats().open == 1);
}

TEST_CASE("interim responses are skipped")
{
    fixture f;
    auto target = start_and_accept(f, 1);
    target.send("HTTP/1.1 102 Processing\r\n\r\n" + ok("a"));
    CHECK(f.outcome(1) == send_outcome::answered);
    CHECK(f.ends.at(1).body == "a");
}

TEST_CASE("an attempt without a connection is certainly unsent")
{
    fixture f;
    f.acceptor.close();
    f.start(1);
    CHECK(f.outcome(1) == send_outcome::unconnected);
    CHECK(certainly_unsent(f.ends.at(1).outcome));
    CHECK(f.losses == 1);
}

TEST_CASE("connections are opened in advance and replaced after a loss")
{
    fixture f;
    f.pool.keep(f.to, 2, 1);
    auto first = f.accept();
    REQUIRE(first);
    f.start(1);
    first->receive_until(f.loop, "GET /1");
    first->send(ok("a"));
    CHECK(f.outcome(1) == send_outcome::answered);
    CHECK(f.pool.stats().opened == 1);
    first->close();
    f.run(20);
    CHECK(f.losses == 1);
    // Waits for longer than the 500 ms between attempts to open connections.
    // f.run() would return early: with no open connection the loop has nothing
    // to wait for.
    std::this_thread::sleep_for(600ms);
    CHECK(f.accept());
    CHECK(f.pool.stats().opened == 2);
}

TEST_CASE("idle connections beyond a lowered limit are closed")
{
    fixture f;
    f.pool.keep(f.to, 2, 2);
    auto first = f.accept();
    auto second = f.accept();
    REQUIRE(first);
    REQUIRE(second);
    f.run(5);
    f.pool.keep(f.to, 1, 0);
    f.run(5);
    CHECK(f.pool.stats().open == 1);
    CHECK(f.losses == 0);
}

TEST_CASE("only an attempt of which no byte was sent can be withdrawn")
{
    fixture f;
    f.start(1, true, 1);
    f.start(2, true, 1);
    auto target = f.accept();
    REQUIRE(target);
    target->receive_until(f.loop, "GET /1");
    CHECK_FALSE(f.pool.withdraw(1));
    CHECK(f.pool.withdraw(2));
    CHECK(f.outcome(2) == send_outcome::not_sent);
    CHECK_FALSE(f.ends.contains(1));
}

TEST_CASE("close_all ends each attempt once")
{
    fixture f;
    f.pool.keep(f.to, 2, 2);
    auto target = start_and_accept(f, 1);
    f.start(2, true, 1);
    f.pool.close_all();
    f.run(700);
    CHECK(f.ends.size() == 2);
    CHECK(f.pool.stats().open == 0);
}

TEST_CASE("an attempt that the client cancels is not sent")
{
    fixture f;
    f.wanted = false;
    f.start(1);
    CHECK(f.outcome(1) == send_outcome::not_sent);
    CHECK(f.ends.at(1).cause.empty());
    auto target = f.accept(5);
    REQUIRE(target);
    target->read_available();
    CHECK(target->received().empty());
}

TEST_CASE("requests above the connection limit wait for a free connection")
{
    fixture f;
    f.start(1, true, 1);
    f.start(2, true, 1);
    auto first = f.accept();
    REQUIRE(first);
    first->receive_until(f.loop, "GET /1");
    CHECK_FALSE(f.accept(20));
    first->send(ok("a"));
    first->receive_until(f.loop, "GET /2");
    first->send(ok("b"));
    CHECK(f.outcome(2) == send_outcome::answered);
    CHECK(f.pool.stats().opened == 1);
}

TEST_CASE("load pattern idle race: a non-repeatable request is not sent on a "
          "connection that the target may be closing")
{
    fixture f;
    auto target = start_and_accept(f, 1);
    target.send(ok("a", "Keep-Alive: timeout=1\r\n"));
    CHECK(f.outcome(1) == send_outcome::answered);
    f.run(400);
    f.start(2, false);
    auto second = f.accept();
    REQUIRE(second);
    second->receive_until(f.loop, "GET /2");
    CHECK(second->received().find("GET /2") != std::string::npos);
}

TEST_CASE("abandoning an attempt ends it once and closes its connection")
{
    fixture f;
    auto target = start_and_accept(f, 1);
    f.pool.abandon(1);
    CHECK(f.ends.empty());
    CHECK(f.outcome(1) == send_outcome::broken);
    target.receive_until(f.loop, "never", 20);
    CHECK(target.peer_closed());
}

} // namespace kumquatramp::eventloop
