// front_service between real sockets: what clients and targets exchange through
// it.
#include "front_fixture.hpp"
#include <catch2/catch.hpp>

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

} // namespace kumquatramp::host
