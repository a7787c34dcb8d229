// Tests of JSON validation and of locating an array in the text.
#include <catch2/catch.hpp>
#include <string>
#include <transport/json_scan.hpp>

using namespace kumquatramp;

TEST_CASE("only a single JSON value in valid UTF-8 is accepted")
{
    for (auto const* text :
         {"{}", " [1, 2] ", "null", "\"a\\u0041\"", "-1.5e3", "{\"a\":[{}]}"})
    {
        CAPTURE(text);
        CHECK(is_json(text));
    }
    for (auto const* text : {"", "{", "{}{}", "[1,]", "{a:1}", "nul", "01",
                             "\"\xff\"", "\x01\xff{{{", "// x\n{}", "{\"a\":1"})
    {
        CAPTURE(text);
        CHECK_FALSE(is_json(text));
    }
    CHECK(is_json(std::string(64, '[') + std::string(64, ']')));
    CHECK_FALSE(is_json(std::string(65, '[') + std::string(65, ']')));
    CHECK_FALSE(is_json(std::string(1'000'000, '[')));
}

TEST_CASE("an array's text is returned unchanged")
{
    CHECK(find_array(R"({"items":[{"a":1}, 2]})", "items") == R"({"a":1}, 2)");
    CHECK(find_array(R"( {"x":{"items":[9]},"items" : [ ],"y":[1]} )",
                     "items") == " ");
    CHECK(find_array(R"({"items":[[1],[2,[3]]]})", "items") == "[1],[2,[3]]");
    CHECK(find_array(R"({"it\u0065ms":[1]})", "items") == "1");
}

TEST_CASE("a missing, non-array or duplicate key yields no array")
{
    for (auto const* text :
         {R"({})", R"([])", R"({"items":1})", R"({"items":{"items":[1]}})",
          R"({"items":[1],"items":[2]})", R"({"items":[1],"items":2})",
          R"([{"items":[1]}])", R"({"items":[1})", R"({"items":[1]}x)"})
    {
        CAPTURE(text);
        CHECK_FALSE(find_array(text, "items"));
    }
}
