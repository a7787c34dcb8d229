// How the calls of http_client end, against a scripted server.
#include "raw_socket.hpp"
#include <catch2/catch.hpp>
#include <eventloop/http_client.hpp>
#include <eventloop/http_message.hpp>
#include <optional>

namespace kumquatramp::eventloop
{

using testing::raw_socket;

namespace
{

struct fixture
{
    fixture()
        : acceptor(loop, {asio::ip::make_address("127.0.0.1"), 0})
        , client(loop, acceptor.local_endpoint())
    {
        client.get("/x", 300ms,
                   [this](http_message const*, call_outcome outcome)
                   { ended = outcome; });
    }

    raw_socket accept()
    {
        asio::ip::tcp::socket socket(loop);
        acceptor.accept(socket);
        raw_socket server(std::move(socket));
        server.receive_until(loop, "\r\n\r\n");
        return server;
    }

    std::optional<call_outcome> outcome()
    {
        for (int i = 0; i < 1000 && !ended; ++i)
        {
            loop.restart();
            loop.run_for(std::chrono::milliseconds(1));
        }
        return ended;
    }

    asio::io_context loop{1};
    asio::ip::tcp::acceptor acceptor;
    http_client client;
    std::optional<call_outcome> ended;
};

} // namespace

// Guards against a cut of a waiting call that counts as a failed server.
TEST_CASE("a call names how it ended")
{
    fixture f;
    SECTION("answered")
    {
        auto server = f.accept();
        server.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        CHECK(f.outcome() == call_outcome::answered);
    }
    SECTION("closed while it waits")
    {
        f.accept().close();
        CHECK(f.outcome() == call_outcome::closed);
    }
    SECTION("reset while it waits")
    {
        f.accept().reset();
        CHECK(f.outcome() == call_outcome::closed);
    }
    SECTION("closed within the response")
    {
        auto server = f.accept();
        server.send("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc");
        server.close();
        CHECK(f.outcome() == call_outcome::malformed_response);
    }
    SECTION("timed out within the response")
    {
        auto server = f.accept();
        server.send("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc");
        CHECK(f.outcome() == call_outcome::malformed_response);
    }
    SECTION("no answer")
    {
        auto server = f.accept();
        CHECK(f.outcome() == call_outcome::timed_out);
    }
    SECTION("no connection")
    {
        f.acceptor.close();
        CHECK(f.outcome() == call_outcome::unconnected);
    }
    SECTION("cancelled")
    {
        f.client.reset();
        CHECK(f.outcome() == call_outcome::cancelled);
    }
}

} // namespace kumquatramp::eventloop
