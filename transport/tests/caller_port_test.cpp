// Tests of the callers' port over real sockets: each invalid input gets a
// specific error response, and the port continues to serve.
#include <asio/read.hpp>
#include <catch2/catch.hpp>
#include <eventloop/boot_clock.hpp>
#include <future>
#include <mutex>
#include <raw_server.hpp>
#include <small_port.hpp>
#include <transport/caller_port.hpp>
#include <transport/caller_service.hpp>

using namespace kumquatramp;
using kumquatramp::tests::exchange_bytes;

namespace
{

/// Answers every query with one shard: immediately, or if `hold_answers` is
/// set, when answer_held() is called. Accepts a single request id.
class fake_service final : public caller_service
{
public:
    explicit fake_service(asio::io_context& loop)
        : loop_(loop)
    {
    }

    query_number run(caller_request request, std::string,
                     answer_handler done) override
    {
        allowed = request.allowed;
        ++runs;
        if (!hold_answers)
        {
            asio::post(loop_, [done = std::move(done)] { done(one_shard()); });
        }
        else
        {
            held_ = std::move(done);
        }
        return query_number{1};
    }

    void caller_disconnected(query_number) override { ++disconnects; }

    void answer_held() { held_(one_shard()); }

    static request_answer one_shard()
    {
        request_answer answer;
        answer.shards.push_back({shard_index{0}, shard_state::answered, "1,2"});
        answer.coverage = 1;
        return answer;
    }

    result<std::string> issue_request_id() override { return "id-1"; }

    result<request_id> decode_request_id(std::string_view text) override
    {
        if (text != "id-1")
        {
            return failure(error_kind::invalid_request_id, {});
        }
        return request_id{};
    }

    result<request_outcome> outcome_of(request_id const&) override
    {
        return request_outcome{};
    }

    void cancel(request_id const&) override {}

    result<discovery_answer> discover(discovery_request const&) override
    {
        return discovery_answer{};
    }

    bool ready() override { return true; }
    duration request_id_lifetime() const override { return 1s; }
    std::string new_trace() override { return "trace"; }

    std::atomic<bool> hold_answers{false};
    std::atomic<int> runs{0};
    std::atomic<int> disconnects{0};
    duration allowed{0}; // read after the answer has arrived

private:
    asio::io_context& loop_;
    answer_handler held_;
};

/// A port on an event loop with its own thread.
struct fixture
{
    explicit fixture(port_options options = tests::small_port_options())
        : callers(loop, time, options, service)
    {
        port = callers.start({"127.0.0.1", 0}).value();
        thread = std::thread([this] { loop.run(); });
    }

    ~fixture()
    {
        loop.stop();
        thread.join();
    }

    static std::string post_bytes(std::string const& path,
                                  std::string const& body,
                                  std::string const& headers = {})
    {
        return "POST " + path + " HTTP/1.1\r\nHost: x\r\n" +
               "Connection: close\r\nContent-Length: " +
               std::to_string(body.size()) + "\r\n" + headers + "\r\n" + body;
    }

    std::string post(std::string const& path, std::string const& body,
                     std::string const& headers = {}) const
    {
        return exchange_bytes(port, post_bytes(path, body, headers));
    }

    tests::tcp::socket connect(asio::io_context& io) const
    {
        tests::tcp::socket socket(io);
        socket.connect({asio::ip::address_v4::loopback(), port});
        return socket;
    }

    asio::io_context loop{1};
    eventloop::boot_clock time;
    fake_service service{loop};
    caller_port callers;
    std::uint16_t port = 0;
    std::thread thread;
};

bool eventually(std::function<bool()> const& condition)
{
    for (int i = 0; i < 500 && !condition(); ++i)
    {
        std::this_thread::sleep_for(10ms);
    }
    return condition();
}

constexpr char const* query = "/v1/services/stock/query";

bool contains(std::string const& text, std::string const& part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_CASE("a query is answered")
{
    fixture f;
    auto const answer = f.post(query, "{}", "Kumquatramp-Deadline-Ms: 70\r\n");
    CAPTURE(answer);
    REQUIRE(contains(answer, "200 OK"));
    REQUIRE(contains(answer, "\"items\":[1,2]"));
    REQUIRE(f.service.allowed == 70ms);
    REQUIRE(f.service.disconnects == 0);
}

TEST_CASE(
    "a caller that disconnects before its answer is reported exactly once")
{
    fixture f;
    f.service.hold_answers = true;
    asio::io_context io;
    {
        auto caller = f.connect(io);
        tests::send_text(caller, fixture::post_bytes(query, "{}"));
        REQUIRE(eventually([&] { return f.service.runs == 1; }));
        REQUIRE(f.service.disconnects == 0);
    }
    REQUIRE(eventually([&] { return f.service.disconnects == 1; }));
    std::promise<void> answered;
    asio::post(f.loop,
               [&]
               {
                   f.service.answer_held();
                   answered.set_value();
               });
    answered.get_future().wait();
    f.service.hold_answers = false;
    REQUIRE(contains(f.post(query, "{}"), "200 OK"));
    REQUIRE(f.service.disconnects == 1);
}

// Guards against callers that fill the process with bodies that stop before
// their end.
TEST_CASE("a large body is refused while others hold the memory for it")
{
    auto options = tests::small_port_options();
    options.max_body_bytes = 200'000;
    options.request_memory_bytes = 400'000;
    options.receive_timeout = 5s;
    fixture f(options);
    asio::io_context io;
    auto stopped = f.connect(io);
    std::string const large = "{" + std::string(199'000, ' ') + "}";
    auto const bytes = fixture::post_bytes(query, large);
    tests::send_text(stopped, bytes.substr(0, bytes.size() - 1));
    std::string refusal;
    REQUIRE(eventually(
        [&]
        {
            refusal = f.post(query, large);
            return contains(refusal, "503");
        }));
    REQUIRE(contains(refusal, "overloaded"));
    REQUIRE(contains(f.post(query, "{}"), "200 OK"));
}

TEST_CASE("requests beyond the in-progress limit are refused immediately")
{
    auto options = tests::small_port_options();
    options.workers = 1;
    options.max_queued = 1;
    fixture f(options);
    f.service.hold_answers = true;
    asio::io_context io;
    auto first = f.connect(io);
    auto second = f.connect(io);
    tests::send_text(first, fixture::post_bytes(query, "{}"));
    tests::send_text(second, fixture::post_bytes(query, "{}"));
    REQUIRE(eventually([&] { return f.service.runs == 2; }));
    auto const refused = f.post(query, "{}");
    CAPTURE(refused);
    REQUIRE(contains(refused, "503 Service Unavailable"));
    REQUIRE(contains(refused, "Retry-After"));
    REQUIRE(contains(refused, "\"state\":\"not run\""));
    REQUIRE(f.service.runs == 2);
}

TEST_CASE("a graceful stop answers requests already read and accepts no more")
{
    fixture f;
    f.service.hold_answers = true;
    asio::io_context io;
    auto caller = f.connect(io);
    tests::send_text(caller, "POST /v1/services/stock/query HTTP/1.1\r\n"
                             "Content-Length: 2\r\n\r\n{}");
    REQUIRE(eventually([&] { return f.service.runs == 1; }));
    std::atomic<bool> stopped{false};
    asio::post(f.loop, [&] { f.callers.stop([&] { stopped = true; }); });
    std::this_thread::sleep_for(150ms);
    REQUIRE_FALSE(stopped);
    asio::post(f.loop, [&] { f.service.answer_held(); });
    REQUIRE(eventually([&] { return stopped.load(); }));
    std::string answer;
    asio::error_code end;
    asio::read(caller, asio::dynamic_buffer(answer), end);
    REQUIRE(contains(answer, "\"items\":[1,2]"));
    REQUIRE(contains(answer, "Connection: close"));
    tests::tcp::socket late(io);
    late.connect({asio::ip::address_v4::loopback(), f.port}, end);
    REQUIRE(end);
}

TEST_CASE("each invalid request is refused, and the next one is served")
{
    fixture f;
    REQUIRE(contains(f.post(query, "{\"a\":"), "malformed_request"));
    REQUIRE(
        contains(f.post(query, std::string(100, '[')), "malformed_request"));
    REQUIRE(contains(f.post(query, std::string(2000, ' ')), "body_too_large"));
    REQUIRE(contains(f.post("/v1/nothing", "{}"), "unknown_path"));
    REQUIRE(contains(f.post(query, "{}", "Kumquatramp-Deadline-Ms: -1\r\n"),
                     "malformed_request"));
    REQUIRE(contains(f.post(query, "{}", "Kumquatramp-Caller: a b\r\n"),
                     "malformed_request"));
    REQUIRE(contains(f.post("/v1/services/desk/requests", "{}",
                            "Kumquatramp-Request-Id: forged\r\n"),
                     "invalid_request_id"));
    REQUIRE(
        contains(f.post(query, "{}", "X: " + std::string(3000, 'x') + "\r\n"),
                 "headers_too_large"));
    std::string many;
    for (int i = 0; i < 30; ++i)
    {
        many += "X: y\r\n";
    }
    REQUIRE(contains(f.post(query, "{}", many), "headers_too_large"));
    REQUIRE(
        contains(f.post("/v1/services/%zz/query", "{}"), "unknown_service"));
    REQUIRE(contains(f.post("/v1/services/a/b/query", "{}"), "unknown_path"));
    REQUIRE(contains(exchange_bytes(f.port, "\x16\x03\x01 not http\r\n\r\n"),
                     "malformed_request"));
    REQUIRE(contains(f.post(query, "{}"), "200 OK"));
}

TEST_CASE("the callers' port does not serve operator endpoints")
{
    fixture f;
    for (auto const* path :
         {"/v1/status", "/v1/burn", "/v1/burn.html", "/metrics"})
    {
        CAPTURE(path);
        auto const answer = exchange_bytes(
            f.port, std::string("GET ") + path +
                        " HTTP/1.1\r\nConnection: close\r\n\r\n");
        REQUIRE(contains(answer, "unknown_path"));
        REQUIRE(contains(answer, "404 Not Found"));
    }
    REQUIRE(contains(f.post("/v1/rules/check", "drain"), "unknown_path"));
}

TEST_CASE("callers that send slowly are disconnected")
{
    fixture f;
    std::string const partial_request =
        GENERATE("POST /v1/services/stock/query HTTP/1.1\r\nX: ",
                 "POST /v1/services/stock/query HTTP/1.1\r\n"
                 "Content-Length: 900\r\n\r\n");
    asio::io_context io;
    auto slow = f.connect(io);
    tests::send_text(slow, partial_request);
    asio::error_code ec;
    auto const started = f.time.now();
    // One byte every 50 ms would never trigger a timeout between two reads.
    for (int i = 0; i < 100 && !ec; ++i)
    {
        asio::write(slow, asio::buffer("y", 1), ec);
        std::this_thread::sleep_for(50ms);
    }
    REQUIRE(ec);
    REQUIRE(f.time.now() - started < 2s);
    REQUIRE(contains(f.post(query, "{}"), "200 OK"));
}

TEST_CASE("callers beyond the connection limit are refused immediately")
{
    auto options = tests::small_port_options();
    options.max_connections = 1;
    options.idle_timeout = 5s;
    fixture f(options);
    asio::io_context io;
    tests::tcp::socket held(io);
    held.connect({asio::ip::address_v4::loopback(), f.port});
    auto const answer = f.post(query, "{}");
    CAPTURE(answer);
    REQUIRE(contains(answer, "503"));
    REQUIRE(contains(answer, "Retry-After"));
    REQUIRE(contains(answer, "\"state\":\"not run\""));
}
