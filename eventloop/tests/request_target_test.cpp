// Tests request_target, percent-decoding and response serialization.
#include <catch2/catch.hpp>
#include <eventloop/http_response.hpp>
#include <eventloop/request_target.hpp>

namespace kumquatramp::eventloop
{

TEST_CASE("the path and parameters of a request target are separated")
{
    request_target const target("/hosts?a=1&zone=llan%2Da+b&zone=other&bad");
    CHECK(target.path() == "/hosts");
    CHECK(target.parameter("zone") == "llan-a b");
    CHECK(target.parameter("a") == "1");
    CHECK_FALSE(target.parameter("bad"));
    CHECK_FALSE(target.parameter("missing"));
    CHECK(request_target("/only").path() == "/only");
    CHECK_FALSE(request_target("/x?").parameter(""));
}

TEST_CASE("malformed percent escapes are rejected")
{
    for (auto const* text : {"%", "%4", "%zz", "%-1", "%-0", "a%2"})
    {
        CAPTURE(text);
        CHECK_FALSE(decode_percent(text));
    }
    CHECK(decode_percent("%41%00b") == std::string("A\0b", 3));
}

TEST_CASE("a serialized response has Content-Length and Retry-After")
{
    CHECK(serialize({.status = 503,
                     .body = "{}",
                     .retry_after = 250ms,
                     .close = true}) ==
          "HTTP/1.1 503 Service Unavailable\r\n"
          "Content-Type: application/json\r\nContent-Length: 2\r\n"
          "Retry-After: 0.250\r\nConnection: close\r\n\r\n{}");
}

} // namespace kumquatramp::eventloop
