// Large, random and corrupted values. The result of validation must depend on
// the text alone and take bounded time and space.
#include <base/seeded_random.hpp>
#include <catch2/catch.hpp>
#include <config/platform_validator.hpp>

using namespace kumquatramp;

namespace
{

std::string repeated(std::string_view line, std::size_t bytes)
{
    std::string text;
    while (text.size() + line.size() <= bytes)
    {
        text += line;
    }
    return text;
}

std::string random_bytes(std::uint64_t seed, std::size_t bytes)
{
    seeded_random random(seed);
    std::string text(bytes, '\0');
    for (auto& c : text)
    {
        c = static_cast<char>(random.below(256));
    }
    return text;
}

// A valid text for each key.
std::string valid_text(config_key key)
{
    switch (key)
    {
    case config_key::rules:
        return "drain availability_zone tema # Ama: roof leak\n"
               "coverage s enough 90% after 120ms # Ama\n"
               "limit caller c service s 20/s # Kofi\n";
    case config_key::catalogue:
        return "service s run idempotent shards 2 map 1 shards 4 map 2\n"
               "target t1 service s availability_zone osu address "
               "127.0.0.1:9100 slots 4 connections 80 connect_cost 6ms state "
               "live holds 1/0,2/3\n";
    case config_key::members:
        return "member osu-1 availability_zone osu callers 127.0.0.1:8001 "
               "peers [::1]:8101 state leaving\n";
    }
    return {};
}

void corrupt(std::string& text, random_source& random)
{
    auto const at = random.below(text.size());
    switch (random.below(4))
    {
    case 0:
        text[at] = static_cast<char>(random.below(256));
        break;
    case 1:
        text.erase(at, random.below(20));
        break;
    case 2:
        text.insert(at, text.substr(random.below(text.size()), 15));
        break;
    default:
        text.resize(at + 1);
    }
}

} // namespace

TEST_CASE("validation of an invalid megabyte reports a bounded list of faults")
{
    platform_validator const validator;
    auto const key = GENERATE(values(
        {config_key::rules, config_key::catalogue, config_key::members}));
    CAPTURE(to_string(key));
    for (auto const& text :
         {random_bytes(1, max_value_bytes), std::string(max_value_bytes, 'x'),
          repeated("x\n", max_value_bytes),
          repeated("\n# x", max_value_bytes) + "\ndrain",
          std::string(max_value_bytes + 1, '\n')})
    {
        auto const faults = validator.validate(key, text);
        REQUIRE_FALSE(faults.empty());
        REQUIRE(faults.size() <= max_listed_faults);
        for (auto const& fault : faults)
        {
            REQUIRE(fault.reason.size() < 300);
        }
    }
}

TEST_CASE("a valid megabyte of rules is accepted")
{
    std::string text;
    for (int i = 0; text.size() < max_value_bytes - 100; ++i)
    {
        text += "limit caller c" + std::to_string(i) + " 5/s # Kofi\n";
    }
    platform_validator const validator;
    REQUIRE(validator.validate(config_key::rules, text).empty());
    text += "limit caller c17 6/s # Kofi\n";
    auto const faults = validator.validate(config_key::rules, text);
    REQUIRE(faults.size() == 1);
    CHECK_THAT(faults[0].reason, Catch::Contains("on line 18"));
}

TEST_CASE("corrupted texts get the same result each time, without a crash")
{
    platform_validator const validator;
    auto const key = GENERATE(values(
        {config_key::rules, config_key::catalogue, config_key::members}));
    auto const seed = GENERATE(1ULL, 2ULL);
    CAPTURE(to_string(key), seed);
    seeded_random random(seed);
    int refused = 0;
    for (int round = 0; round < 1000; ++round)
    {
        auto text = valid_text(key);
        REQUIRE(validator.validate(key, text).empty());
        for (auto times = random.below(3) + 1; times > 0; --times)
        {
            corrupt(text, random);
        }
        auto const faults = validator.validate(key, text);
        REQUIRE(faults == validator.validate(key, text));
        refused += faults.empty() ? 0 : 1;
    }
    REQUIRE(refused > 500);
}
