// Bad input to the operators' port: a clear refusal each time, and the server
// goes on.
#include <catch2/catch.hpp>
#include <details/library_answer.hpp>
#include <eventloop/boot_clock.hpp>
#include <raw_server.hpp>
#include <small_port.hpp>
#include <transport/admin_server.hpp>

using namespace kumquatramp;
using kumquatramp::tests::exchange_bytes;

namespace
{

struct fixture
{
    explicit fixture(port_options options = tests::small_port())
        : server(options, time)
    {
        server.routes().Get(
            "/status", [](httplib::Request const&, httplib::Response& response)
            { write_json(response, "{}"); });
        server.routes().Post(
            "/check", [](httplib::Request const&, httplib::Response& response)
            { write_json(response, "{}"); });
        port = server.start({"127.0.0.1", 0}).value();
    }

    std::string post(std::string const& path, std::string const& body,
                     std::string const& headers = {}) const
    {
        return exchange_bytes(port,
                              "POST " + path + " HTTP/1.1\r\nHost: x\r\n" +
                                  "Connection: close\r\nContent-Length: " +
                                  std::to_string(body.size()) + "\r\n" +
                                  headers + "\r\n" + body);
    }

    eventloop::boot_clock time;
    admin_server server;
    std::uint16_t port = 0;
};

bool has(std::string const& text, std::string const& part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_CASE("each bad request to operators is refused, and the next one served")
{
    fixture f;
    REQUIRE(has(f.post("/check", std::string(2000, ' ')), "body_too_large"));
    REQUIRE(has(f.post("/v1/nothing", "{}"), "unknown_path"));
    REQUIRE(has(f.post("/check", "{}", "X: " + std::string(3000, 'x') + "\r\n"),
                "400 Bad Request"));
    std::string many;
    for (int i = 0; i < 30; ++i)
    {
        many += "X: y\r\n";
    }
    REQUIRE(has(f.post("/check", "{}", many), "400 Bad Request"));
    REQUIRE(has(exchange_bytes(f.port, "\x16\x03\x01 not http\r\n\r\n"),
                "malformed_request"));
    REQUIRE(has(f.post("/check", "{}"), "200 OK"));
}

TEST_CASE("operators that trickle or stay idle are cut")
{
    fixture f;
    asio::io_context io;
    tests::tcp::socket slow(io);
    slow.connect({asio::ip::address_v4::loopback(), f.port});
    tests::send_text(slow, "POST /check HTTP/1.1\r\nX: ");
    asio::error_code ec;
    auto const started = f.time.now();
    // A byte every 50 ms would never trip a timeout between two reads.
    for (int i = 0; i < 100 && !ec; ++i)
    {
        asio::write(slow, asio::buffer("y", 1), ec);
        std::this_thread::sleep_for(50ms);
    }
    REQUIRE(ec);
    REQUIRE(f.time.now() - started < 2s);
    REQUIRE(has(f.post("/check", "{}"), "200 OK"));
}

TEST_CASE("past the bound on connections an operator is refused at once")
{
    auto options = tests::small_port();
    options.max_connections = 1;
    options.idle_timeout = 5s;
    fixture f(options);
    asio::io_context io;
    tests::tcp::socket held(io);
    held.connect({asio::ip::address_v4::loopback(), f.port});
    auto const answer = f.post("/check", "{}");
    CAPTURE(answer);
    REQUIRE(has(answer, "503"));
    REQUIRE(has(answer, "Retry-After"));
    REQUIRE(has(answer, "\"state\":\"not run\""));
}
