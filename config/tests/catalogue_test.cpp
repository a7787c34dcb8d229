// Catalogue and membership list: parsed entirely, or refused with the faulty
// lines.
#include <catch2/catch.hpp>
#include <config/catalogue.hpp>
#include <config/member_entry.hpp>
#include <config/platform_validator.hpp>

using namespace kumquatramp;

namespace
{

constexpr auto valid_catalogue = R"(# Accra
service stock-finder run idempotent shards 10 map 1 shards 20 map 2
service booking-desk run once shards 15 map 1
target sf-0-osu service stock-finder availability_zone osu address 127.0.0.1:9100 slots 4 connections 80 connect_cost 6ms state live holds 1/0,2/19
target bd-0-osu service booking-desk availability_zone osu address [::1]:9101 slots 4 connections 80 state leaving holds 1/14
)";

std::string target_line(std::string_view word, std::string_view other)
{
    std::string line = "target t1 service s availability_zone z address "
                       "127.0.0.1:9100 slots 4 connections 80 holds 1/0";
    auto const at = line.find(word);
    line.replace(at, word.size(), other);
    return "service s run idempotent shards 1 map 1\n" + line;
}

} // namespace

TEST_CASE("a catalogue is parsed")
{
    auto const parsed = parse_catalogue(valid_catalogue);
    REQUIRE(parsed);
    auto const& [services, targets] = parsed.value();
    REQUIRE(services.size() == 2);
    CHECK(services[0].idempotent);
    CHECK(services[0].maps == std::vector<shard_map>{{1, 10}, {2, 20}});
    CHECK_FALSE(services[1].idempotent);
    REQUIRE(targets.size() == 2);
    target_entry const first{target_name{"sf-0-osu"},
                             service_name{"stock-finder"},
                             zone_name{"osu"},
                             "127.0.0.1:9100",
                             4,
                             80,
                             6ms,
                             false,
                             {{1, shard_index{0}}, {2, shard_index{19}}}};
    CHECK(targets[0] == first);
    CHECK(targets[1].leaving);
    CHECK(targets[1].connect_cost == 1ms);
}

TEST_CASE("a malformed catalogue line is refused with the offending word")
{
    using example = std::tuple<char const*, char const*, char const*>;
    auto const [word, other, reason] =
        GENERATE(table<char const*, char const*, char const*>({
            example{"service s", "service x", "'x' is not a service"},
            example{"slots 4", "slots 0", "from 1 to"},
            example{"connections 80", "connections 0", "from 1 to"},
            example{"connections 80", "", "'connections' is missing"},
            example{"127.0.0.1:9100", "osu-1:9100", "not an address"},
            example{"127.0.0.1:9100", "127.0.0.1:70000", "not an address"},
            example{"1/0", "1/1", "in no shard map"},
            example{"1/0", "2/0", "in no shard map"},
            example{"1/0", "1/0,1/0", "given twice"},
            example{"1/0", "1-0", "not MAP/SHARD"},
            example{"slots", "solts", "unknown word 'solts'"},
            example{"slots 4", "slots 4 slots 5", "'slots' is given twice"},
            example{"holds 1/0", "holds 1/0 state", "'state' has no value"},
            example{"holds 1/0", "holds 1/0 state gone", "neither"},
            example{"t1", "T!", "not a name"},
        }));
    CAPTURE(word, other);
    auto const parsed = parse_catalogue(target_line(word, other));
    REQUIRE_FALSE(parsed);
    CHECK(parsed.error()[0].line == 2);
    std::string reasons;
    for (auto const& fault : parsed.error())
    {
        reasons += fault.reason + "\n";
    }
    CHECK_THAT(reasons, Catch::Contains(reason));
}

TEST_CASE("duplicate names and empty lists are refused")
{
    constexpr auto member = "member osu-1 availability_zone osu callers "
                            "127.0.0.1:8001 peers 127.0.0.1:8101 state live\n";
    auto const members = parse_members(member);
    REQUIRE(members);
    CHECK(members.value()[0].peer_address == "127.0.0.1:8101");
    CHECK_FALSE(parse_members(std::string(member) + member));
    platform_validator const validator;
    CHECK(validator.validate(config_key::members, "# nobody\n").size() == 1);
    CHECK(validator.validate(config_key::catalogue, "").size() == 1);
    CHECK_FALSE(parse_catalogue("service s run once shards 1 map 1\n"
                                "service s run once shards 1 map 1\n"));
    CHECK_FALSE(parse_catalogue("service s run once shards 0 map 1\n"));
    CHECK_FALSE(
        parse_catalogue("service s run once shards 1 map 2 shards 1 map 1\n"));
}
