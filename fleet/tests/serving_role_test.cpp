// Transitions of the serving role around changes of the serving set.
#include <catch2/catch.hpp>
#include <fleet/serving_role.hpp>

namespace kumquatramp::fleet
{

namespace
{

using phase = serving_role::phase;

struct fixture
{
    time_point now = time_point(1h);
    serving_role role;
    std::uint64_t requests = 0;

    phase advance(duration length, bool in_set, bool with_requests)
    {
        for (time_point const end = now + length; now < end; now += 100ms)
        {
            requests += with_requests ? 1 : 0;
            role.update(in_set, requests, now);
        }
        return role.current();
    }
};

} // namespace

TEST_CASE("a host in the serving set serves at once")
{
    fixture f;
    CHECK(f.role.current() == phase::standby);
    CHECK(f.advance(100ms, true, false) == phase::serving);
}

TEST_CASE("a short absence from the serving set does not end the service")
{
    fixture f;
    f.advance(1s, true, false);
    CHECK(f.advance(14s, false, false) == phase::serving);
    f.advance(100ms, true, false);
    CHECK(f.advance(14s, false, false) == phase::serving);
}

// Guards against a host that stops following the store while clients with older
// directory answers still send requests to it.
TEST_CASE("a host that has left the serving set serves until clients stop")
{
    fixture f;
    f.advance(1s, true, true);
    CHECK(f.advance(16s, false, true) == phase::withdrawing);
    CHECK(f.advance(60s, false, true) == phase::withdrawing);
    CHECK(f.advance(6s, false, false) == phase::withdrawing);
    CHECK(f.advance(2s, false, false) == phase::standby);
}

TEST_CASE("a withdrawing host without clients goes on standby after a pause")
{
    fixture f;
    f.advance(1s, true, false);
    CHECK(f.advance(16s, false, false) == phase::withdrawing);
    CHECK(f.advance(5s, false, false) == phase::withdrawing);
    CHECK(f.advance(2s, false, false) == phase::standby);
}

TEST_CASE("a withdrawing host that is needed again serves at once")
{
    fixture f;
    f.advance(1s, true, false);
    f.advance(16s, false, false);
    CHECK(f.advance(100ms, true, false) == phase::serving);
    CHECK(f.advance(14s, false, false) == phase::serving);
}

TEST_CASE("requests on standby do not make a host serve")
{
    fixture f;
    CHECK(f.advance(5s, false, true) == phase::standby);
}

} // namespace kumquatramp::fleet
