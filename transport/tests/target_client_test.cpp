// Sends to targets that close the connection, send invalid answers or do not
// answer: each request is sent at most once, and its outcome states correctly
// whether it may have been executed.
#include <asio/executor_work_guard.hpp>
#include <catch2/catch.hpp>
#include <condition_variable>
#include <eventloop/boot_clock.hpp>
#include <mutex>
#include <raw_server.hpp>
#include <transport/target_client.hpp>
#include <transport/target_events.hpp>

using namespace kumquatramp;
using kumquatramp::tests::raw_server;
using kumquatramp::tests::read_request;
using kumquatramp::tests::send_text;
using kumquatramp::tests::tcp;

namespace
{

/// Records replies and lost connections.
class recording_events final : public target_events
{
public:
    bool may_send(attempt_id const&) override { return allow; }

    void on_target_reply(target_reply reply) override
    {
        std::lock_guard const guard(mutex_);
        reply_ = std::move(reply);
        changed_.notify_all();
    }

    void on_connection_lost(target_name const&) override { ++lost; }

    target_reply wait()
    {
        std::unique_lock lock(mutex_);
        if (!changed_.wait_for(lock, 5s, [this] { return reply_.has_value(); }))
        {
            throw std::runtime_error("no reply within 5 s");
        }
        auto reply = std::move(*reply_);
        reply_.reset();
        return reply;
    }

    std::atomic<bool> allow{true};
    std::atomic<int> lost{0};

private:
    std::mutex mutex_;
    std::condition_variable changed_;
    std::optional<target_reply> reply_;
};

struct fixture
{
    ~fixture()
    {
        client.stop();
        work.reset();
        thread.join();
    }

    target_reply send(std::string const& address, std::uint32_t attempt = 0,
                      duration allowed = 2s)
    {
        start(address, attempt, allowed);
        return events.wait();
    }

    void start(std::string const& address, std::uint32_t attempt,
               duration allowed)
    {
        send_attempt wanted;
        wanted.id = {incarnation{1}, query_number{1}, shard_index{3}, attempt};
        wanted.target = target_name{"t"};
        wanted.address = address;
        wanted.service = service_name{"s"};
        wanted.shard = shard_index{3};
        wanted.deadline = time.now() + allowed;
        wanted.body = std::make_shared<std::string const>();
        client.send(wanted, "trace");
    }

    eventloop::boot_clock time;
    asio::io_context io;
    asio::executor_work_guard<asio::io_context::executor_type> work{
        io.get_executor()};
    recording_events events;
    target_client client{events, time, io};
    std::thread thread{[this] { io.run(); }};
};

std::string answer_to(std::string const& attempt, std::string const& body,
                      std::size_t length)
{
    return "HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt +
           "\r\nShard: 3\r\nSnapshot: 1/7\r\nHolds: 1/6,1/7\r\n"
           "Load: busy=2 queued=5\r\nContent-Length: " +
           std::to_string(length) + "\r\n\r\n" + body;
}

std::string whole_answer(std::string const& attempt)
{
    std::string const body = R"({"items":[{"a":1}, 2]})";
    return answer_to(attempt, body, body.size());
}

} // namespace

TEST_CASE("a request whose connection closes after it was read is broken and "
          "never resent")
{
    std::atomic<int> requests{0};
    raw_server target([&](tcp::socket& socket)
                      { requests += read_request(socket).empty() ? 0 : 1; });
    fixture f;
    REQUIRE(f.send(target.address()).outcome == attempt_outcome::broken);
    REQUIRE(requests == 1);
}

TEST_CASE("a request is not resent if its persistent connection closes "
          "before the answer")
{
    std::atomic<int> requests{0};
    raw_server target(
        [&](tcp::socket& socket)
        {
            requests += read_request(socket).empty() ? 0 : 1;
            send_text(socket, whole_answer("1-1-3-0"));
            requests += read_request(socket).empty() ? 0 : 1;
        });
    fixture f;
    f.client.set_connections({target_name{"t"}, target.address(), 1, 1});
    REQUIRE(f.send(target.address(), 0).outcome == attempt_outcome::answered);
    REQUIRE(f.send(target.address(), 1).outcome == attempt_outcome::broken);
    REQUIRE(requests == 2);
}

TEST_CASE("an idle connection closed by the target is reported")
{
    raw_server target([](tcp::socket& socket) { send_text(socket, ""); });
    fixture f;
    f.client.set_connections({target_name{"t"}, target.address(), 1, 1});
    for (int i = 0; i < 500 && f.events.lost == 0; ++i)
    {
        std::this_thread::sleep_for(10ms);
    }
    REQUIRE(f.events.lost > 0);
}

TEST_CASE("no byte is sent if may_send() returns false")
{
    std::atomic<bool> received_any{false};
    raw_server target(
        [&](tcp::socket& socket)
        {
            char byte = 0;
            asio::error_code ec;
            received_any = received_any ||
                           socket.read_some(asio::buffer(&byte, 1), ec) > 0;
        });
    {
        fixture f;
        f.events.allow = false;
        REQUIRE(f.send(target.address()).outcome == attempt_outcome::not_sent);
    }
    REQUIRE_FALSE(received_any);
}

TEST_CASE("a refused connection ends as connect_failed")
{
    std::string address;
    {
        raw_server const gone([](tcp::socket&) {});
        address = gone.address();
    }
    fixture f;
    REQUIRE(f.send(address).outcome == attempt_outcome::connect_failed);
}

TEST_CASE("a send without an answer times out at the deadline")
{
    raw_server target(
        [](tcp::socket& socket)
        {
            read_request(socket);
            read_request(socket); // until the client closes
        });
    fixture f;
    REQUIRE(f.send(target.address(), 0, 50ms).outcome ==
            attempt_outcome::timed_out);
}

TEST_CASE("a request cancelled after it was sent ends as cancelled")
{
    std::mutex mutex;
    std::condition_variable request_read;
    bool execute_seen = false;
    raw_server target(
        [&](tcp::socket& socket)
        {
            bool const execute =
                read_request(socket).starts_with("POST /v1/execute");
            std::unique_lock lock(mutex);
            execute_seen = execute_seen || execute;
            request_read.notify_all();
            lock.unlock();
            read_request(socket);
        });
    fixture f;
    f.start(target.address(), 0, 5s);
    std::unique_lock lock(mutex);
    REQUIRE(request_read.wait_for(lock, 2s, [&] { return execute_seen; }));
    lock.unlock();
    f.client.cancel({incarnation{1}, query_number{1}, shard_index{3}, 0});
    REQUIRE(f.events.wait().outcome == attempt_outcome::cancelled);
}

TEST_CASE("the fields of a complete answer are read")
{
    raw_server target(
        [](tcp::socket& socket)
        {
            read_request(socket);
            send_text(socket, whole_answer("1-1-3-0"));
        });
    fixture f;
    auto const reply = f.send(target.address());
    REQUIRE(reply.outcome == attempt_outcome::answered);
    REQUIRE(reply.payload == R"({"a":1}, 2)");
    REQUIRE(reply.snapshot == snapshot_id{1, 7});
    REQUIRE(reply.holds.size() == 2);
    REQUIRE(reply.load->queued == 5);
}

TEST_CASE("invalid answers are malformed and close their connection")
{
    std::string const valid_body = R"({"items":[]})";
    auto const refused = [](char const* id)
    {
        return std::string("HTTP/1.1 503 X\r\nRefused: shed\r\nAttempt-Id: ") +
               id + "\r\nContent-Length: 0\r\n\r\n";
    };
    auto const* const deep =
        "[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[";
    auto const answer = GENERATE_COPY(
        answer_to("1-1-3-9", valid_body,
                  valid_body.size()), // id of another attempt
        answer_to("junk", valid_body, valid_body.size()),        // invalid id
        answer_to("1-1-3-0", valid_body, valid_body.size() + 1), // truncated
        answer_to("1-1-3-0", "\x01\xff{{{", 5),                  // not JSON
        answer_to("1-1-3-0", "[]", 2),                           // no items
        answer_to("1-1-3-0", std::string(deep) + deep, 98),      // too deep
        std::string("HTTP/1.1 200 OK\r\n") + std::string(100'000, 'x'),
        std::string("\r\n\r\n"), refused("1-1-3-9"));
    CAPTURE(answer.substr(0, 200));
    std::atomic<bool> closed{false};
    raw_server target(
        [&](tcp::socket& socket)
        {
            read_request(socket);
            send_text(socket, answer);
            asio::error_code ignored;
            socket.shutdown(tcp::socket::shutdown_send, ignored);
            closed = read_request(socket).empty();
        });
    {
        fixture f;
        REQUIRE(f.send(target.address()).outcome == attempt_outcome::malformed);
    }
    for (int i = 0; i < 500 && !closed; ++i)
    {
        std::this_thread::sleep_for(10ms);
    }
    REQUIRE(closed);
}
