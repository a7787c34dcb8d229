// Decoding of datagrams between hosts.
#include "gossip_codec.hpp"
#include <catch2/catch.hpp>
#include <new>
#include <string>

namespace kumquatramp::host
{

namespace
{

using namespace std::string_literals;

} // namespace

TEST_CASE("a message between hosts is decoded as it was encoded")
{
    fleet::fleet_message message;
    message.kind = fleet::message_kind::push;
    message.sequence = 7;
    message.subject = "10.0.0.9";
    message.digest = 11;
    message.range_digests = {1, 2, 3};
    for (int i = 0; i < 100; ++i)
    {
        message.states.push_back({.ip = "10.0.0." + std::to_string(i),
                                  .zone = "zone-a",
                                  .incarnation = 5});
    }
    auto const decoded = decode_message(encode_message(message));
    REQUIRE(decoded);
    CHECK(decoded.value().sequence == 7);
    CHECK(decoded.value().states.size() == 100);
    CHECK(decoded.value().states.back().ip == "10.0.0.99");
    CHECK(decoded.value().range_digests.size() == 3);
}

// Guards against a datagram of a few bytes for which the decoder asks for
// gigabytes of memory.
TEST_CASE("a length that a datagram declares is not believed")
{
    std::string const bytes =
        GENERATE("\xdd\xff\xff\xff\xff"s, // array
                 "\xdd\x7f\xff\xff\xff\x01"s,
                 "\xdf\xff\xff\xff\xff"s,      // map
                 "\xdb\xff\xff\xff\xff"s,      // string
                 "\xc6\xff\xff\xff\xff"s,      // binary
                 "\xc9\xff\xff\xff\xff\x01"s); // extension
    auto const decoded = decode_message(bytes);
    REQUIRE_FALSE(decoded);
    CHECK(decoded.error().detail != std::bad_alloc().what());
}

// Guards against a stack that deep nesting exhausts.
TEST_CASE("deep nesting in a datagram is refused")
{
    CHECK_FALSE(decode_message(std::string(60000, '\x91') + "\x01"));
}

} // namespace kumquatramp::host
