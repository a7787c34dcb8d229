// A single store: accepted and refused offers, remembered refusals, updates.
#include <base/rendezvous.hpp>
#include <catch2/catch.hpp>
#include <config/config_store.hpp>
#include <config/platform_validator.hpp>
#include <fake_validator.hpp>

using namespace kumquatramp;
using offer_result = config_store::offer_result;

namespace
{

constexpr auto rules = config_key::rules;

config_version v(std::uint64_t number)
{
    return config_version{number};
}

} // namespace

TEST_CASE("a refused version is remembered until a higher one is accepted")
{
    fake_validator validator;
    config_store store(validator);
    REQUIRE(store.offer(rules, v(3), "three") == offer_result::accepted);
    REQUIRE(store.offer(rules, v(6), "bad") == offer_result::refused);
    REQUIRE(store.offer(rules, v(5), "bad too") == offer_result::refused);
    REQUIRE(validator.calls() == 3);
    CHECK(store.offer(rules, v(6), "bad") == offer_result::refused);
    CHECK(store.offer(rules, v(5), "bad too") == offer_result::refused);
    CHECK(store.offer(rules, v(2), "two") == offer_result::older);
    CHECK(store.offer(rules, v(3), "three") == offer_result::held);
    CHECK(validator.calls() == 3);
    CHECK(store.stamp(rules).version == v(3));

    CHECK(store.offer(rules, v(4), "four") == offer_result::accepted);
    REQUIRE(store.refused(rules));
    CHECK(store.refused(rules)->version == v(6));
    CHECK(store.refused(rules)->faults.size() == 1);
    CHECK_FALSE(store.refused(config_key::members));

    CHECK(store.offer(rules, v(7), "seven") == offer_result::accepted);
    CHECK_FALSE(store.refused(rules));
}

TEST_CASE("two texts of one version: the higher hash wins on every host")
{
    fake_validator validator;
    config_store first(validator);
    config_store second(validator);
    for (auto const* text : {"one", "other", "one"})
    {
        first.offer(rules, v(5), text);
    }
    for (auto const* text : {"other", "one"})
    {
        second.offer(rules, v(5), text);
    }
    CHECK(first.stamp(rules) == second.stamp(rules));
    CHECK(*first.text(rules) == *second.text(rules));
}

TEST_CASE(
    "an invalid file is refused entirely, with the same faults on every host")
{
    platform_validator const validator;
    config_store one(validator);
    config_store other(validator);
    std::string const good = "drain availability_zone tema # Ama\n";
    std::string const bad = good + "deadline s soon # Ama\nlimit # Ama\n";
    one.offer(rules, v(1), good);
    other.offer(rules, v(1), good);
    REQUIRE(one.offer(rules, v(2), bad) == offer_result::refused);
    // The other host receives the file from a peer.
    config_update update;
    update.stamp = {v(2), stable_hash(bad)};
    update.text = bad;
    REQUIRE(other.offer(update).value() == offer_result::refused);
    CHECK(one.refused(rules)->faults == other.refused(rules)->faults);
    CHECK(one.refused(rules)->faults.size() == 2);
    CHECK(*one.text(rules) == good);
    CHECK(other.stamp(rules) == one.stamp(rules));
}

TEST_CASE("the text of an update must match the hash of its stamp")
{
    fake_validator validator;
    config_store store(validator);
    store.offer(rules, v(1), "a\nb\n");
    config_update update;
    update.base = store.stamp(rules);
    update.stamp = {v(2), stable_hash("a\nc\n")};
    update.edits = {{1, 1, {"d"}}};
    auto const wrong = store.offer(update);
    REQUIRE_FALSE(wrong);
    CHECK(wrong.error().kind == error_kind::invalid_configuration);
    update.edits = {{1, 1, {"c"}}};
    CHECK(store.offer(update).value() == offer_result::accepted);
    update.stamp = {v(3), stable_hash("x")};
    auto const stale = store.offer(update);
    REQUIRE_FALSE(stale);
    CHECK(stale.error().kind == error_kind::stale_configuration);
    CHECK(store.stamp(rules).version == v(2));
}

TEST_CASE("a host that is up to 64 versions behind needs only the changes")
{
    fake_validator validator;
    config_store ahead(validator);
    config_store behind(validator);
    std::string const line = "a line of the usual length, number ";
    std::string text;
    for (int i = 0; i < 5000; ++i)
    {
        text += line + std::to_string(i) + "\n";
    }
    ahead.offer(rules, v(1), text);
    behind.offer(rules, v(1), text);
    auto const last = GENERATE(65ULL, 66ULL);
    for (std::uint64_t i = 2; i <= last; ++i)
    {
        text += line + "x\n";
        ahead.offer(rules, v(i), text);
    }
    auto const update = ahead.update_since(rules, behind.stamp(rules));
    CHECK(update.base.has_value() == (last == 65));
    CHECK(behind.offer(update).value() == offer_result::accepted);
    CHECK(behind.stamp(rules) == ahead.stamp(rules));
}
