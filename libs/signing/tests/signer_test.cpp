// A MAC must be valid only for the text, domain and key it was computed from.
#include <catch2/catch.hpp>
#include <signing/signer.hpp>

using kumquatramp::signer;

TEST_CASE("a MAC verifies only for its text, domain and key")
{
    signer const ours{"a"};
    auto const mac = ours.sign("domain", "text");
    REQUIRE(mac.size() == 32);
    REQUIRE(ours.verify("domain", "text", mac));
    REQUIRE_FALSE(ours.verify("other", "text", mac));
    REQUIRE_FALSE(ours.verify("domain", "texu", mac));
    REQUIRE_FALSE(ours.verify("domain", "text", ""));
    REQUIRE_FALSE(signer{"b"}.verify("domain", "text", mac));
}
