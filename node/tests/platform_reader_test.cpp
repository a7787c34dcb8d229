// platform_reader after failed reads.
#include "details/platform_reader.hpp"
#include <base/seeded_random.hpp>
#include <catch2/catch.hpp>
#include <config/value_validator.hpp>
#include <rules/rule_fault.hpp>

namespace kumquatramp
{

namespace
{

class accept_all final : public value_validator
{
public:
    std::vector<rule_fault> validate(config_key,
                                     std::string_view) const override
    {
        return {};
    }
};

} // namespace

// Guards against a host that keeps an old value after an outage of the
// platform: a read that hung must not delay the next one further.
TEST_CASE("a failed read is repeated after the retry time from its start")
{
    accept_all const validator;
    config_store const store(validator);
    seeded_random random(1);
    platform_reader reader(store, 2s, 500ms, random);
    time_point const asked(1h);
    action_list out;
    reader.read_due(asked, out);
    REQUIRE(out.size() == all_config_keys.size());
    REQUIRE(reader.next() == never);
    SECTION("it failed at once")
    {
        for (auto const key : all_config_keys)
        {
            reader.on_failure(key, asked);
        }
        CHECK(reader.next() >= asked + 250ms);
        CHECK(reader.next() <= asked + 750ms);
    }
    SECTION("it hung")
    {
        for (auto const key : all_config_keys)
        {
            reader.on_failure(key, asked + 3s);
        }
        CHECK(reader.next() == asked + 3s);
    }
}

} // namespace kumquatramp
