// Basic tests of each part of the membership library.
#include <base/seeded_random.hpp>
#include <catch2/catch.hpp>
#include <membership/discovery.hpp>
#include <membership/member_table.hpp>
#include <membership/shutdown_sequence.hpp>
#include <membership/steward_election.hpp>
#include <membership/view_lease.hpp>

using namespace kumquatramp;

namespace
{

host_name const a{"osu-1"};
host_name const b{"osu-2"};

member_entry make_entry(host_name const& name)
{
    return {name, zone_name{"osu"}, "127.0.0.1:1", "127.0.0.1:2", false};
}

} // namespace

TEST_CASE("a member table sees a peer live, dead and leaving", "[membership]")
{
    seeded_random random{1};
    membership_options const options;
    std::vector<member_entry> const list{make_entry(a), make_entry(b)};
    member_table first{list[0], incarnation{1}, options, random};
    member_table second{list[1], incarnation{2}, options, random};
    time_point now{10s};
    first.apply_list(list, now);
    second.apply_list(list, now);
    REQUIRE(first.pick_peers(now).size() == 1);

    peer_digest digest;
    digest.from = b;
    digest.life = incarnation{2};
    digest.heartbeats = second.next_heartbeats(false, now);
    first.merge(digest, now);
    CHECK(first.serving(now).size() == 2);
    CHECK(first.serving(now + options.death_time + 1ms).size() == 1);

    digest.heartbeats = second.next_heartbeats(true, now);
    first.merge(digest, now);
    CHECK(first.serving(now).size() == 1);
    CHECK(first.members(now).at(1).state == liveness::leaving);
}

TEST_CASE("a lease is valid for view_lifetime from the request time",
          "[membership]")
{
    membership_options const options;
    view_lease lease{a, options};
    time_point const request_time{10s};
    CHECK_FALSE(lease.valid(request_time));
    lease.confirm_by_platform(request_time);
    CHECK(lease.valid(request_time + options.view_lifetime));
    CHECK_FALSE(lease.valid(request_time + options.view_lifetime + 1ns));
}

TEST_CASE("a single host becomes steward after the hold-off", "[membership]")
{
    membership_options const options;
    steward_election election{a, options};
    target_name const target{"t"};
    std::vector<member_entry> const serving{make_entry(a)};
    time_point now{10s};
    auto const end = now + options.steward_hold_off;
    for (; now < end; now += options.round)
    {
        election.set_serving(serving, now);
        CHECK_FALSE(election.is_steward(target, now));
    }
    election.set_serving(serving, end);
    CHECK(election.is_steward(target, end));
}

TEST_CASE("discovery skips leaving hosts, shutdown goes through its phases",
          "[membership]")
{
    seeded_random random{1};
    membership_options const options;
    std::vector<member_entry> hosts{make_entry(a), make_entry(b)};
    hosts[0].leaving = true;
    auto const answer = discover({}, hosts, 0, 10s, random);
    REQUIRE(answer.hosts.size() == 1);
    CHECK(answer.hosts[0].name == b);

    shutdown_sequence shutdown{options};
    CHECK(shutdown.phase(1, time_point{1s}) == shutdown_phase::serving);
    shutdown.request(time_point{1s});
    CHECK(shutdown.phase(1, time_point{2s}) == shutdown_phase::leaving);
    CHECK(shutdown.phase(1, time_point{100s}) == shutdown_phase::refusing);
    CHECK(shutdown.phase(0, time_point{100s}) == shutdown_phase::done);
}
