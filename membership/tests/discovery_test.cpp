// Discovery answers, and that graceful shutdown does not refuse callers.
#include "simulated_fleet.hpp"

#include <catch2/catch.hpp>
#include <map>
#include <membership/discovery.hpp>
#include <membership/shutdown_sequence.hpp>
#include <set>

using namespace kumquatramp;

namespace
{

std::vector<member_entry> make_hosts(std::vector<std::string> const& zones,
                                     int each)
{
    std::vector<member_entry> hosts;
    for (auto const& zone : zones)
    {
        for (int i = 0; i < each; ++i)
        {
            member_entry entry;
            entry.name = host_name{zone + "-" + std::to_string(i)};
            entry.zone = zone_name{zone};
            hosts.push_back(entry);
        }
    }
    return hosts;
}

/// A caller that uses one discovery answer for its full lifetime.
struct caching_caller
{
    std::vector<host_name> hosts;
    time_point until{};
};

} // namespace

TEST_CASE("callers are spread over their zone, with a second choice in another "
          "zone",
          "[discovery]")
{
    seeded_random random{2};
    auto const hosts = make_hosts({"osu", "tema", "madina"}, 6);
    std::map<host_name, int> first;
    std::map<zone_name, int> second_zone;
    constexpr int callers = 6000;
    for (int i = 0; i < callers; ++i)
    {
        auto const answer =
            discover({zone_name{"osu"}, {}, 3}, hosts, 0, 10s, random);
        REQUIRE(answer.hosts.size() == 3);
        ++first[answer.hosts[0].name];
        ++second_zone[answer.hosts[1].zone];
        CHECK(answer.hosts[0].zone == zone_name{"osu"});
    }
    double chi_square = 0;
    for (auto const& [name, count] : first)
    {
        double const expected = callers / 6.0;
        chi_square += (count - expected) * (count - expected) / expected;
    }
    CHECK(first.size() == 6);
    CHECK(chi_square < 20.5); // 5 degrees of freedom, p = 0.001
    CHECK(second_zone.count(zone_name{"osu"}) == 0);
    CHECK(second_zone[zone_name{"tema"}] == Approx(callers / 2).epsilon(0.05));
}

TEST_CASE("an empty zone falls back to others, a service has a fixed subset",
          "[discovery]")
{
    seeded_random random{3};
    auto const hosts = make_hosts({"osu", "tema"}, 10);
    auto const fallback =
        discover({zone_name{"madina"}, {}, 2}, hosts, 0, 10s, random);
    CHECK(fallback.hosts.size() == 2);
    CHECK(discover({}, {}, 0, 10s, random).hosts.empty());

    std::set<host_name> subset;
    for (int i = 0; i < 200; ++i)
    {
        discovery_request const request{zone_name{"osu"},
                                        service_name{"stock-finder"}, 3};
        for (auto const& host : discover(request, hosts, 4, 10s, random).hosts)
        {
            subset.insert(host.name);
        }
    }
    CHECK(subset.size() == 4);
}

TEST_CASE(
    "no host in a valid discovery answer refuses requests, even if a peer "
    "learns late that it is leaving",
    "[discovery][shutdown][property]")
{
    auto const seed = GENERATE(range(1, 6));
    membership_options const options;
    simulated_fleet fleet{18, options, static_cast<std::uint64_t>(seed)};
    auto& hosts = fleet.hosts();
    std::map<host_name, shutdown_sequence> shutdowns;
    for (auto const& h : hosts)
    {
        shutdowns.try_emplace(h.entry.name, options);
    }
    std::vector<caching_caller> callers;
    std::size_t leaving_hosts_given = 0;

    auto const add_caller = [&]
    {
        auto const& h = hosts[fleet.random().below(hosts.size())];
        if (!fleet.may_send(h))
        {
            return; // a host without a valid lease answers no caller
        }
        auto const answer =
            discover({h.entry.zone, {}, 3}, h.table->serving(fleet.now()), 0,
                     options.discovery_lifetime, fleet.random());
        caching_caller caller{{}, fleet.now() + answer.lifetime};
        for (auto const& host : answer.hosts)
        {
            caller.hosts.push_back(host.name);
            auto const phase = shutdowns.at(host.name).phase(1, fleet.now());
            leaving_hosts_given += phase != shutdown_phase::serving ? 1 : 0;
        }
        callers.push_back(caller);
    };
    auto const check_callers = [&]
    {
        std::erase_if(callers, [&](caching_caller const& caller)
                      { return caller.until < fleet.now(); });
        for (auto const& caller : callers)
        {
            for (auto const& name : caller.hosts)
            {
                auto const phase = shutdowns.at(name).phase(1, fleet.now());
                if (phase == shutdown_phase::refusing)
                {
                    FAIL("seed " << seed << ": " << name.value()
                                 << " refuses a caller with a valid answer at "
                                 << fleet.now().time_since_epoch() / 1ms
                                 << " ms");
                }
            }
        }
    };
    fleet.run_until(fleet.now() + 5s, [] {});
    for (std::size_t i = 0; i < 4; ++i)
    {
        hosts[i].leaving = true;
        shutdowns.at(hosts[i].entry.name).request(fleet.now());
        auto const late = 10 + fleet.random().below(8);
        fleet.pause(late, 1s); // learns of the shutdown late
        fleet.assign_group(10 + fleet.random().below(8), 1);
        fleet.run_until(fleet.now() + 6s,
                        [&]
                        {
                            add_caller();
                            check_callers();
                        });
        for (std::size_t j = 0; j < hosts.size(); ++j)
        {
            fleet.assign_group(j, 0);
        }
    }
    fleet.run_until(fleet.now() + 25s, check_callers);
    CHECK(leaving_hosts_given > 0); // the case that the leaving phase covers
}
