// Tests of membership and of the serving set under virtual time.
#include "fleet_simulation.hpp"
#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

namespace kumquatramp::fleet
{

using testing::fleet_simulation;

namespace
{

/// Six strong hosts among many small ones, as in deployments that have grown.
std::vector<std::uint32_t> mixed_weights()
{
    std::vector<std::uint32_t> weights(137, 84);
    std::fill(weights.begin(), weights.begin() + 6, 500);
    return weights;
}

void start_all(fleet_simulation& simulation)
{
    for (std::size_t i = 0; i < simulation.size(); ++i)
    {
        simulation.start(i);
    }
}

bool directory_contains(fleet_view const& view, std::string const& zone,
                        std::string const& ip)
{
    auto const all = view.directory(zone);
    return std::find(all.begin(), all.end(), ip) != all.end();
}

} // namespace

TEST_CASE("all hosts of a small fleet serve, each the clients of its zone")
{
    fleet_simulation simulation(std::vector<std::uint32_t>(15, 170), 3, 1);
    start_all(simulation);
    simulation.run(5s);
    CHECK(simulation.serving() == 15);
    auto const same_zone = simulation.view(4).directory(simulation.zone(7));
    CHECK(same_zone.size() == 5);
    CHECK(simulation.view(0).hosts(simulation.now()) == 15);
}

TEST_CASE(
    "the strong hosts of a large fleet serve and the others are on standby")
{
    fleet_simulation simulation(mixed_weights(), 3, 2);
    start_all(simulation);
    simulation.run(8s);
    CHECK(simulation.serving() == 6);
    CHECK(simulation.view(100).live_hosts() == 137);
    CHECK(simulation.view(100).directory("zone-1").size() == 6);
}

TEST_CASE(
    "load pattern whole fleet restart: hosts that end up on standby do not "
    "start to serve")
{
    fleet_simulation simulation(mixed_weights(), 3, 2);
    start_all(simulation);
    std::set<std::size_t> started_serving;
    for (int step = 0; step < 8; ++step)
    {
        for (std::size_t i = 0; i < simulation.size(); ++i)
        {
            if (simulation.view(i).settled(simulation.now()) &&
                simulation.view(i).serves())
            {
                started_serving.insert(i);
            }
        }
        simulation.run(fleet_view::protocol_period);
    }
    for (std::size_t strong = 0; strong < 6; ++strong)
    {
        CHECK(started_serving.contains(strong));
    }
    // Each host that serves beyond the strong ones lists the store and stays in
    // directories for a while.
    CHECK(started_serving.size() <= 12);
}

TEST_CASE("a killed host is removed from every directory within 7 s")
{
    // The platform's bound: a stable time of 4 s plus 3 s.
    constexpr duration bound = 7s;
    for (std::uint64_t seed = 1; seed <= 10; ++seed)
    {
        fleet_simulation simulation(mixed_weights(), 3, seed);
        start_all(simulation);
        simulation.run(8s);
        simulation.kill(4);
        simulation.run(bound);
        for (std::size_t i = 0; i < simulation.size(); ++i)
        {
            if (simulation.is_running(i))
            {
                INFO("seed " << seed << " host " << i);
                CHECK_FALSE(directory_contains(simulation.view(i), "zone-1",
                                               simulation.ip(4)));
            }
        }
    }
}

TEST_CASE("when the strong hosts are killed the next strongest ones serve")
{
    fleet_simulation simulation(mixed_weights(), 3, 3);
    start_all(simulation);
    simulation.run(8s);
    for (std::size_t i = 0; i < 6; ++i)
    {
        simulation.kill(i);
    }
    simulation.run(7s);
    CHECK(simulation.serving() >= 30);
    CHECK(simulation.view(50).directory("zone-0").size() >= 3);
}

TEST_CASE("a host whose clock went back over a restart rejoins every directory")
{
    fleet_simulation simulation(std::vector<std::uint32_t>(15, 170), 3, 4);
    start_all(simulation);
    simulation.run(5s);
    simulation.kill(7);
    simulation.run(1s);
    simulation.restart(7, -60'000);
    simulation.run(6s);
    for (std::size_t i = 0; i < simulation.size(); ++i)
    {
        INFO("host " << i);
        CHECK(directory_contains(simulation.view(i), simulation.zone(7),
                                 simulation.ip(7)));
    }
}

TEST_CASE("two zones that cannot reach each other keep their members through a "
          "third")
{
    fleet_simulation simulation(mixed_weights(), 3, 5);
    start_all(simulation);
    simulation.run(8s);
    simulation.is_reachable = [&](std::size_t from, std::size_t to)
    {
        auto const a = simulation.zone(from);
        auto const b = simulation.zone(to);
        return !((a == "zone-1" && b == "zone-2") ||
                 (a == "zone-2" && b == "zone-1"));
    };
    simulation.run(20s);
    // A few hosts may be suspected for a time; both zones still count each
    // other's hosts as live.
    CHECK(simulation.view(1).live_hosts() >= 135);
    CHECK(simulation.view(2).live_hosts() >= 135);
    CHECK(simulation.serving() <= 8);
}

TEST_CASE("a partitioned zone serves by itself and rejoins afterwards")
{
    fleet_simulation simulation(mixed_weights(), 3, 6);
    start_all(simulation);
    simulation.run(8s);
    simulation.is_reachable = [&](std::size_t from, std::size_t to)
    {
        return (simulation.zone(from) == "zone-0") ==
               (simulation.zone(to) == "zone-0");
    };
    simulation.run(25s);
    CHECK(simulation.view(0).directory("zone-0").size() >= 3);
    CHECK_FALSE(
        directory_contains(simulation.view(1), "zone-1", simulation.ip(0)));
    // Unreachable hosts still count in the size that divides fleet-wide limits.
    CHECK(simulation.view(0).hosts(simulation.now()) >= 6);
    simulation.is_reachable = [](std::size_t, std::size_t) { return true; };
    simulation.run(15s);
    CHECK(simulation.view(0).live_hosts() == 137);
    CHECK(simulation.view(1).live_hosts() == 137);
    CHECK(simulation.serving() == 6);
}

TEST_CASE("a busy host that has died does not enlarge the serving set")
{
    fleet_simulation simulation(mixed_weights(), 3, 4);
    start_all(simulation);
    simulation.run(8s);
    for (std::size_t i = 0; i < 3; ++i)
    {
        simulation.view(i).set_busy(true);
    }
    simulation.run(8s);
    CHECK(simulation.serving() > 6);
    for (std::size_t i = 0; i < 3; ++i)
    {
        simulation.kill(i);
    }
    simulation.run(10s);
    // Three strong hosts and as many weak ones as make up for the lost ones.
    CHECK(simulation.serving() <= 3 + 1500 / 84 + 3);
}

TEST_CASE("a suspect is not declared dead right after a suspension")
{
    testing::null_log log;
    seeded_random random(1);
    time_point const start(1h);
    fleet_view view({.ip = "10.0.0.1", .zone = "z", .incarnation = 1}, {},
                    random, log, start);
    fleet_message news{.kind = message_kind::ping,
                       .states = {{.ip = "10.0.0.2",
                                   .zone = "z",
                                   .incarnation = 1,
                                   .health = peer_health::suspect}}};
    view.handle_message("10.0.0.2", news, start);
    time_point const resumed = start + 20s;
    view.forgive_silence(resumed);
    view.tick(resumed);
    CHECK(view.live_hosts() == 2);
    // It still has to deny the suspicion.
    for (time_point now = resumed; now < resumed + 4s; now += 500ms)
    {
        view.tick(now);
    }
    CHECK(view.live_hosts() == 1);
}

TEST_CASE("the states that a host sends do not grow with the fleet")
{
    auto const states_per_second = [](std::size_t hosts)
    {
        fleet_simulation simulation(std::vector<std::uint32_t>(hosts, 84), 3,
                                    7);
        start_all(simulation);
        simulation.run(20s);
        auto const before = simulation.states_sent();
        simulation.run(20s);
        return static_cast<double>(simulation.states_sent() - before) / 20.0 /
               static_cast<double>(hosts);
    };
    double const small = states_per_second(15);
    double const large = states_per_second(150);
    INFO("states a second and host: " << small << " and " << large);
    CHECK(large < small * 2);
}

// Guards against comparisons that send the whole fleet's states for each
// change.
TEST_CASE(
    "load pattern steady changes: a host's share of them grows slower than "
    "the fleet")
{
    auto const states_per_second = [](std::size_t hosts)
    {
        fleet_simulation simulation(std::vector<std::uint32_t>(hosts, 84), 3,
                                    7);
        start_all(simulation);
        simulation.run(15s);
        auto const before = simulation.states_sent();
        constexpr int seconds = 10;
        for (int i = 0; i < seconds; ++i)
        {
            // About as many changes a second as a fleet sees under load.
            for (std::size_t k = 0; k < 2; ++k)
            {
                simulation.view(k).set_busy(i % 2 == 0);
            }
            simulation.run(1s);
        }
        return static_cast<double>(simulation.states_sent() - before) /
               seconds / static_cast<double>(hosts);
    };
    double const small = states_per_second(100);
    double const large = states_per_second(400);
    INFO("states a second and host: " << small << " and " << large);
    CHECK(large < small * 2);
}

} // namespace kumquatramp::fleet
