// Tests of the validation of settings files.
#include <catch2/catch.hpp>
#include <transport/daemon_settings.hpp>

using namespace kumquatramp;

namespace
{

std::string settings_with(std::string const& extra)
{
    return "[host]\nname = osu-1\navailability_zone = osu\n"
           "callers = 127.0.0.1:8001\npeers = 127.0.0.1:8101\n"
           "admin = 127.0.0.1:8201\n[platform]\naddress = 127.0.0.1:7000\n"
           "[fleet]\nkey = 0123456789abcdef\n" +
           extra;
}

} // namespace

TEST_CASE("a complete settings file is accepted")
{
    auto const read = parse_settings(
        settings_with("seeds = tema-1@127.0.0.1:8102, madina-1@127.0.0.1:8103\n"
                      "[membership]\nround_ms = 250\n"));
    REQUIRE(read);
    REQUIRE(read.value().node.self.peer_address == "127.0.0.1:8101");
    REQUIRE(read.value().node.membership.round == 250ms);
    REQUIRE(read.value().node.seeds.size() == 2);
}

TEST_CASE("each error names file, section and key")
{
    struct row
    {
        char const* extra;
        char const* fault;
    };
    auto const bad = GENERATE(
        row{"[callers]\nworker = 3\n", "f: [callers] worker: unknown key"},
        row{"[callers]\nworkers = 0\n",
            "f: [callers] workers: must be a whole number from 1 to 1024"},
        row{"[callers]\nworkers = 3x\n",
            "f: [callers] workers: must be a whole number from 1 to 1024"},
        row{"[log]\nlevel = loud\n",
            "f: [log] level: must be debug, info, warning or error"},
        row{"[host]\nname = osu-2\n", "f: [host] name: given twice"},
        row{"seeds = 127.0.0.1:8102\n",
            "f: [fleet] seeds: must be NAME@IP:port, several with commas"},
        row{"[membership]\nsteward_hold_off_ms = 5000\n",
            "f: [membership] steward_hold_off_ms: must be above twice the sum "
            "of view_lifetime_ms and round_ms"},
        row{"[membership]\nview_lifetime_ms = 6000\n",
            "f: [membership] view_lifetime_ms: must be a whole number from "
            "100 to 4500"});
    CAPTURE(bad.extra);
    auto const read = parse_settings(settings_with(bad.extra));
    REQUIRE_FALSE(read);
    REQUIRE(to_string(read.error().front(), "f") == bad.fault);
}

TEST_CASE("missing keys are errors, and no error contains the fleet key")
{
    auto const read =
        parse_settings("[host]\nname = osu-1\n[fleet]\nkey = secret\n");
    REQUIRE_FALSE(read);
    std::string all;
    for (auto const& fault : read.error())
    {
        all += to_string(fault, "f") + "\n";
    }
    REQUIRE(all.find("f: [host] callers: missing") != std::string::npos);
    REQUIRE(all.find("secret") == std::string::npos);
}
