// Attempt ids round-trip through their text form; malformed texts are refused.
#include <base/attempt_id.hpp>
#include <catch2/catch.hpp>

using namespace kumquatramp;

TEST_CASE("an attempt id round-trips through its text form")
{
    attempt_id const id{incarnation{0xfeedULL}, query_number{17},
                        shard_index{9}, 2};
    REQUIRE(parse_attempt_id(to_string(id)) == id);
}

TEST_CASE("malformed attempt ids are refused")
{
    for (auto const* text : {"", "1", "1-2-3", "1-2-3-", "1-2-3-x", "-1-2-3-4",
                             "1-2-3-4-5", "fffffffffffffffff-1-1-1"})
    {
        CAPTURE(text);
        REQUIRE_FALSE(parse_attempt_id(text));
    }
}
