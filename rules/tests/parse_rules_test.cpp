// Tests of the rules grammar: every rule takes effect, and every kind of fault
// is reported with its line and reason.
#include <catch2/catch.hpp>
#include <rules/parse_rules.hpp>
#include <rules/ruleset.hpp>

using namespace kumquatramp;

namespace
{

constexpr auto every_rule = R"(# Rules of the Accra desk.

drain availability_zone tema                      # Ama Owusu: roof leak
drain target sf-0-osu                             # Kofi: disk noise
deadline stock-finder 150ms                       # Ama Owusu
hedge stock-finder percentile 90 budget 2.5%      # Ama Owusu
hedge booking-desk off                            # Esi: orders run once
coverage stock-finder at-least 80%                # Adwoa
coverage stock-finder enough 90% after 0.12s      # Adwoa
priority stock-finder 0                           # Adwoa
limit service stock-finder in-flight 200          # Kofi
limit service stock-finder queue 500              # Kofi
limit caller planner 50/s                         # Kofi
limit caller planner service stock-finder 0.5/s   # Kofi
objective stock-finder 99.9% within 150ms         # Adwoa
ramp availability_zones 20s                       # Èsi: cold caches
)";

std::vector<rule_fault> faults_of(std::string_view text)
{
    auto const parsed = parse_rules(text);
    return parsed ? std::vector<rule_fault>{} : parsed.error();
}

} // namespace

TEST_CASE("every rule of the grammar takes effect")
{
    auto const parsed = parse_rules(every_rule);
    REQUIRE(parsed);
    auto const& rules = parsed.value();
    CHECK(rules.drains(zone_name{"tema"}));
    CHECK_FALSE(rules.drains(zone_name{"osu"}));
    CHECK(rules.drains(target_name{"sf-0-osu"}));
    auto const& policy = rules.policy_of(service_name{"stock-finder"});
    CHECK(policy.deadline == 150ms);
    CHECK(policy.hedge);
    CHECK(policy.hedge_percentile == 0.9);
    CHECK(policy.hedge_budget == 0.025);
    CHECK(policy.min_coverage == 0.8);
    CHECK(policy.enough_coverage == 0.9);
    CHECK(policy.straggler_wait == 120ms);
    CHECK(policy.priority == 0);
    CHECK(policy.max_in_flight == 200);
    CHECK(policy.max_queued == 500);
    CHECK(policy.objective == 0.999);
    CHECK(policy.objective_latency == 150ms);
    CHECK_FALSE(rules.policy_of(service_name{"booking-desk"}).hedge);
    caller_name const planner{"planner"};
    CHECK(rules.rate_limit(planner, service_name{"stock-finder"}) == 0.5);
    CHECK(rules.rate_limit(planner, service_name{"driver-app"}) == 50.0);
    CHECK_FALSE(rules.rate_limit(caller_name{"other"}, service_name{"x"}));
    CHECK(rules.zone_ramp() == 20s);
}

TEST_CASE("a fault reports its line, the faulty word and what was expected")
{
    struct example
    {
        char const* text;
        std::uint32_t line;
        char const* reason;
    };
    auto const [text, line, reason] = GENERATE(values<example>({
        {"drain target t1", 1, "names who asked"},
        {"drain target t1 #", 1, "names who asked"},
        {"\ndrain target t1 # : leak", 2, "names who asked"},
        {"drian target t1 # Ama", 1, "'drian' is wrong; expected drain"},
        {"drain zone tema # Ama", 1,
         "'zone' is wrong; expected "
         "'availability_zone' or 'target'"},
        {"drain target T1 # Ama", 1, "'T1' is wrong"},
        {"drain target # Ama", 1, "ends too early; expected the name"},
        {"drain target t1 now # Ama", 1, "'now' is wrong; expected the end"},
        {"deadline s 150 # Ama", 1, "'150' is wrong; expected a time"},
        {"deadline s 61s # Ama", 1, "from 1ms to 60s"},
        {"deadline s -5ms # Ama", 1, "'-5ms' is wrong"},
        {"hedge s percentile 100 budget 5% # A", 1, "from 50 to 99"},
        {"coverage s at-least 101% # Ama", 1, "'101%' is wrong"},
        {"coverage s enough 90% # Ama", 1, "expected 'after'"},
        {"priority s 10 # Ama", 1, "from 0 to 9"},
        {"limit caller c 0/s # Ama", 1, "'0/s' is wrong"},
        {"limit service s in-flight 0 # Ama", 1, "from 1 to"},
        {"limit service s in-flight 99999999999999999999 # A", 1, "from 1 to"},
        {"drain target t\x01 # Ama", 1, "control character"},
        {"deadline s 1s # Ama\n\ndeadline s 2s # Kofi", 3,
         "another value on line 1; keep one of 1 and 3"},
        {"coverage s enough 70% after 1s # A\ncoverage s at-least 80% # B", 2,
         "over enough (lines 1 and 2)"},
    }));
    CAPTURE(text);
    auto const faults = faults_of(text);
    REQUIRE(faults.size() == 1);
    CHECK(faults[0].line == line);
    CHECK_THAT(faults[0].reason, Catch::Contains(reason));
}

TEST_CASE("a single fault refuses the whole file, and all faults are listed")
{
    auto const faults = faults_of("drain availability_zone osu # Ama\n"
                                  "deadline s soon\n"
                                  "priority s 3 # Ama\r\n"
                                  "priority s 3 # Kofi agrees\n"
                                  "ramp targets 3s # Ama\n");
    REQUIRE(faults.size() == 3);
    CHECK(faults[0].line == 2);
    CHECK(faults[1].line == 2);
    CHECK(faults[2].line == 5);
}
