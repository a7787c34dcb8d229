// Tests of the settings file and of the codec for messages between hosts.
#include "gossip_codec.hpp"
#include <catch2/catch.hpp>
#include <host/host_settings.hpp>

namespace kumquatramp::host
{

namespace
{

constexpr char valid_settings[] =
    "[host]\nname = h1\nip = 10.0.0.1\nzone = z\n"
    "cpu_share = 0.17\n"
    "[listen]\nclients = 10.0.0.1:80\n"
    "[fleet]\ngossip_port = 7740\n"
    "seeds = 10.0.0.1:90, 10.0.0.2:90\n"
    "[store]\naddress = 10.9.0.1:70\n"
    "[bounds]\nretry_slack = 116\ndrain_ms = 5000\n"
    "shutdown_grace_s = 6\n";

std::string without(std::string const& line)
{
    std::string text = valid_settings;
    auto const at = text.find(line);
    text.erase(at, line.size());
    return text;
}

} // namespace

TEST_CASE("a valid settings file is parsed")
{
    auto const s = parse_settings(valid_settings);
    REQUIRE(s);
    CHECK(s.value().seeds.size() == 2);
    CHECK(s.value().retry_slack == 116);
    CHECK(s.value().drain_bound == 5s);
    CHECK(s.value().shutdown_grace == 6s);
    CHECK(s.value().retry_window == 10s);
    CHECK(s.value().cpu_share == 0.17);
}

TEST_CASE("a settings error names the key and its fault")
{
    CHECK(parse_settings(without("zone = z\n")).error().detail ==
          "host.zone is missing");
    CHECK(parse_settings(without("gossip_port = 7740\n")).error().detail ==
          "fleet.gossip_port is not a port number (1 to 65535)");
    std::string const text =
        std::string(valid_settings) + "contact_ms = soon\n";
    CHECK(parse_settings(text).error().detail ==
          "bounds.contact_ms is not a number >= 0");
    CHECK(parse_settings("[host\n").error().detail.find("line 1") == 0);
    CHECK_FALSE(read_settings("/nonexistent/settings.ini"));
}

TEST_CASE("the machine's limits come from the file or else from its caller")
{
    machine_limits const machine{.memory_mb = 182, .max_fds = 2870};
    CHECK(parse_settings(valid_settings).value().machine.memory_mb == 112);
    CHECK(parse_settings(valid_settings, machine).value().machine.memory_mb ==
          182);
    std::string const text = std::string(valid_settings) + "[host]\n";
    CHECK(parse_settings(text + "memory_mb = 64\n", machine)
              .value()
              .machine.memory_mb == 64);
    CHECK(parse_settings(valid_settings, machine).value().machine.max_fds ==
          2870);
    CHECK(parse_settings(text + "max_fds = 1000\n").value().machine.max_fds ==
          1000);
    CHECK_FALSE(parse_settings(text + "max_fds = 200\n"));
    for (char const* const bad : {"8", "0", "64.5", "1e12", "much"})
    {
        CAPTURE(bad);
        CHECK_FALSE(parse_settings(text + "memory_mb = " + bad + "\n"));
    }
}

TEST_CASE("files keep their part of the descriptors")
{
    CHECK(socket_count({.max_fds = 2870}) == 2670);
    CHECK(socket_count({.max_fds = 0}) > 0);
}

// A host must fit into its machine beside the requests that it holds.
TEST_CASE("requests may use a part of the machine's memory")
{
    constexpr std::size_t megabyte = 1U << 20U;
    for (std::size_t const mb : {64, 112, 182, 512})
    {
        std::size_t const bytes = request_memory({.memory_mb = mb});
        CHECK(bytes >= mb * megabyte / 2);
        CHECK(bytes <= mb * megabyte * 3 / 4);
    }
}

TEST_CASE(
    "messages between hosts round-trip, and truncated or foreign bytes are "
    "rejected")
{
    fleet::fleet_message message;
    message.kind = fleet::message_kind::indirect_ping;
    message.sequence = 7;
    message.subject = "10.0.0.9";
    message.states.push_back({.ip = "10.0.0.1",
                              .zone = "z",
                              .incarnation = 1ULL << 50U,
                              .version = 3,
                              .health = fleet::peer_health::suspect,
                              .ready = true,
                              .leaving = false,
                              .busy = true,
                              .weight = 170});
    message.range_digests = {1, 1ULL << 63U};
    std::string const bytes = encode_message(message);
    auto const decoded = decode_message(bytes);
    REQUIRE(decoded);
    CHECK(decoded.value().subject == "10.0.0.9");
    REQUIRE(decoded.value().states.size() == 1);
    auto const& s = decoded.value().states.front();
    CHECK(s.incarnation == 1ULL << 50U);
    CHECK(s.health == fleet::peer_health::suspect);
    CHECK(s.ready);
    CHECK(s.busy);
    CHECK(decoded.value().range_digests == message.range_digests);
    CHECK_FALSE(s.leaving);
    for (std::size_t size = 0; size < bytes.size(); ++size)
    {
        CHECK_FALSE(decode_message(std::string_view(bytes).substr(0, size)));
    }
    CHECK_FALSE(decode_message("HTTP/1.1 200 OK"));
}

} // namespace kumquatramp::host
