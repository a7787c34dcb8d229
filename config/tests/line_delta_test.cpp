// Deltas between arbitrary texts, applied one by one and composed.
#include <base/seeded_random.hpp>
#include <catch2/catch.hpp>
#include <config/line_delta.hpp>
#include <details/delta_composer.hpp>

using namespace kumquatramp;

namespace
{

// A text of up to `max_lines` lines, drawn from a few different ones so that
// lines repeat, move and disappear; with or without a final newline.
std::string random_text(random_source& random, std::uint64_t max_lines)
{
    std::string text;
    auto const lines = random.below(max_lines + 1);
    for (std::uint64_t i = 0; i < lines; ++i)
    {
        auto const line = random.below(12);
        text += line == 0 ? "" : "line " + std::to_string(line);
        text += i + 1 < lines || random.below(2) == 0 ? "\n" : "";
    }
    return text;
}

} // namespace

TEST_CASE("a delta produces exactly the new text, alone and composed")
{
    auto const seed = GENERATE(1ULL, 2ULL, 3ULL);
    CAPTURE(seed);
    seeded_random random(seed);
    for (int round = 0; round < 300; ++round)
    {
        CAPTURE(round);
        auto const first = random_text(random, 20);
        auto text = first;
        details::delta_composer composer;
        for (int step = 0; step < 5; ++step)
        {
            auto const next = random_text(random, 20);
            auto const edits = make_line_delta(text, next);
            REQUIRE(apply_line_delta(text, edits).value() == next);
            composer.append(edits);
            text = next;
            REQUIRE(apply_line_delta(first, composer.compose()).value() ==
                    text);
        }
    }
}

TEST_CASE("distant changes produce separate small edits")
{
    std::string old_text;
    for (int i = 0; i < 5000; ++i)
    {
        old_text += "target t" + std::to_string(i) + " live\n";
    }
    auto new_text = old_text;
    for (auto const* name : {"t7 live", "t2500 live", "t4990 live"})
    {
        new_text.replace(new_text.find(name), std::string_view(name).size(),
                         "x leaving");
    }
    auto const edits = make_line_delta(old_text, new_text);
    REQUIRE(edits.size() == 3);
    CHECK(edits[1].first == 2500);
    CHECK(edits[1].removed == 1);
}

TEST_CASE("a delta that does not apply is an error")
{
    auto const bad = GENERATE(values<std::vector<line_edit>>({
        {{5, 0, {}}},
        {{1, 4, {}}},
        {{1, 0xffffffff, {}}},
        {{0xffffffff, 0xffffffff, {"x"}}},
        {{2, 1, {}}, {1, 1, {}}},
        {{1, 2, {}}, {2, 1, {}}},
        {{0, 1, {"two\nlines"}}},
    }));
    auto const applied = apply_line_delta("a\nb\nc\n", bad);
    REQUIRE_FALSE(applied);
    CHECK(applied.error().kind == error_kind::invalid_configuration);
}
