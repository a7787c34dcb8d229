// Tests of the operators' port: each invalid input gets an error response, and
// the server continues to serve.
#include <catch2/catch.hpp>
#include <details/httplib_response.hpp>
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
    explicit fixture(port_options options = tests::small_port_options())
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

bool contains(std::string const& text, std::string const& part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_CASE(
    "each invalid operator request is refused, and the next one is served")
{
    fixture f;
    REQUIRE(
        contains(f.post("/check", std::string(2000, ' ')), "body_too_large"));
    REQUIRE(contains(f.post("/v1/nothing", "{}"), "unknown_path"));
    REQUIRE(contains(
        f.post("/check", "{}", "X: " + std::string(3000, 'x') + "\r\n"),
        "400 Bad Request"));
    std::string many;
    for (int i = 0; i < 30; ++i)
    {
        many += "X: y\r\n";
    }
    REQUIRE(contains(f.post("/check", "{}", many), "400 Bad Request"));
    REQUIRE(contains(exchange_bytes(f.port, "\x16\x03\x01 not http\r\n\r\n"),
                     "malformed_request"));
    REQUIRE(contains(f.post("/check", "{}"), "200 OK"));
}

TEST_CASE("operators that send slowly are disconnected")
{
    fixture f;
    asio::io_context io;
    tests::tcp::socket slow(io);
    slow.connect({asio::ip::address_v4::loopback(), f.port});
    tests::send_text(slow, "POST /check HTTP/1.1\r\nX: ");
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
    REQUIRE(contains(f.post("/check", "{}"), "200 OK"));
}

TEST_CASE("operators beyond the connection limit are refused immediately")
{
    auto options = tests::small_port_options();
    options.max_connections = 1;
    options.idle_timeout = 5s;
    fixture f(options);
    asio::io_context io;
    tests::tcp::socket held(io);
    held.connect({asio::ip::address_v4::loopback(), f.port});
    auto const answer = f.post("/check", "{}");
    CAPTURE(answer);
    REQUIRE(contains(answer, "503"));
    REQUIRE(contains(answer, "Retry-After"));
    REQUIRE(contains(answer, "\"state\":\"not run\""));
}
