// Request ids cannot be forged, altered or extended.
#include <catch2/catch.hpp>
#include <requests/request_id_codec.hpp>

using namespace kumquatramp;

TEST_CASE("an id decodes to itself; forged and malformed ids are refused")
{
    request_id_codec const codec(signer("fleet key"));
    request_id const id{host_name{"osu-1"}, incarnation{0xf00dULL}, 77};
    auto const text = codec.encode(id);
    REQUIRE(codec.decode(text).value() == id);

    for (std::size_t i = 0; i < text.size(); ++i)
    {
        auto forged = text;
        forged[i] = forged[i] == '1' ? '2' : '1';
        CAPTURE(forged);
        REQUIRE_FALSE(codec.decode(forged));
    }
    std::string const oversized(1'000'000, '.');
    for (auto const& bad :
         {std::string(), std::string("."), std::string("..."), text + "0",
          text.substr(1), "." + text, oversized, std::string(300, 'a') + text})
    {
        auto const decoded = codec.decode(bad);
        REQUIRE_FALSE(decoded);
        CHECK(decoded.error().kind == error_kind::invalid_request_id);
    }
    request_id_codec const other(signer("another key"));
    CHECK_FALSE(other.decode(text));
}
