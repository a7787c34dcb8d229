// Tests one gate in isolation: which attempts it admits as its target becomes
// warm and cold.
#include <catch2/catch.hpp>
#include <limits/target_gate.hpp>

using namespace kumquatramp;

namespace
{

time_point const start{1h};

target_bounds bounds_of_steward(bool steward)
{
    target_bounds bounds;
    bounds.slots = 4;
    bounds.connections = 80;
    bounds.hosts = 16;
    bounds.steward = steward;
    return bounds;
}

} // namespace

TEST_CASE("the gate of a cold target admits only the steward's ramp")
{
    target_gate other;
    other.configure(bounds_of_steward(false), start);
    REQUIRE_FALSE(other.try_acquire(start));

    target_gate steward;
    steward.configure(bounds_of_steward(true), start);
    REQUIRE(steward.try_acquire(start));
    REQUIRE_FALSE(steward.try_acquire(start));
    REQUIRE(steward.may_send(start));
    steward.configure(bounds_of_steward(false), start);
    REQUIRE_FALSE(steward.may_send(start));
}

namespace
{

/// Sends attempts in sequence until the target is warm; returns false if that
/// takes longer than a minute.
bool warm_up(target_gate& gate, time_point& now)
{
    for (auto const end = now + 1min; now < end; now += 10ms)
    {
        if (gate.seen().warm)
        {
            return true;
        }
        if (gate.try_acquire(now))
        {
            gate.release(attempt_outcome::answered, 5ms, {}, now + 5ms);
        }
    }
    return false;
}

} // namespace

TEST_CASE("a steward warms up the target, a lost connection makes it cold")
{
    target_gate gate;
    gate.configure(bounds_of_steward(true), start);
    auto now = start;
    REQUIRE(warm_up(gate, now));
    REQUIRE(now - start < 1s);
    REQUIRE(gate.seen() == warmth{0, true});
    gate.on_connection_lost(now);
    gate.on_connection_lost(now + 10s);
    REQUIRE(gate.seen() == warmth{1, false});
    now += 10s;
    REQUIRE_FALSE(gate.try_acquire(now)); // backs off after a connection loss
    REQUIRE(warm_up(gate, now));
    REQUIRE(gate.seen() == warmth{1, true});
}

TEST_CASE("the ramp restarts at one after a change of steward")
{
    target_gate gate;
    gate.configure(bounds_of_steward(true), start);
    for (int i = 0; i < 100 && gate.status().limit < 2; ++i)
    {
        REQUIRE(gate.try_acquire(start));
        gate.release(attempt_outcome::answered, 0ms, {}, start);
    }
    REQUIRE(gate.status().limit == 2);
    gate.configure(bounds_of_steward(false), start + 1s);
    REQUIRE_FALSE(gate.open(start + 1s));
    gate.configure(bounds_of_steward(true), start + 9s);
    REQUIRE(gate.status().limit == 1);
}

TEST_CASE("attempts queued before the target became cold are not sent")
{
    target_gate gate;
    auto bounds = bounds_of_steward(true);
    bounds.hosts = 1;
    gate.configure(bounds, start);
    gate.observe({5, true}, start);
    REQUIRE(gate.try_acquire(start));
    REQUIRE(gate.try_acquire(start));
    auto const lost = start + 1min;
    REQUIRE(gate.may_send(lost));
    gate.on_connection_lost(lost);
    REQUIRE_FALSE(gate.may_send(lost + 2s)); // two in flight, ramp limit 1
    gate.release(attempt_outcome::not_sent, 0ms, {}, lost + 2s);
    REQUIRE(gate.may_send(lost + 2s));
}

TEST_CASE("consecutive refusals at the minimum limit make the target cold")
{
    target_gate gate;
    gate.configure(bounds_of_steward(false), start);
    gate.observe({5, true}, start);
    auto now = start;
    std::uint32_t refusals = 0;
    while (gate.seen().warm && refusals < 100)
    {
        now += 10ms;
        if (gate.try_acquire(now))
        {
            gate.release(attempt_outcome::refused, 1ms, {}, now + 1ms);
            ++refusals;
        }
    }
    REQUIRE(refusals >= consecutive_failures::threshold);
    REQUIRE(refusals < 20);
    REQUIRE(now - start < 2s);
    REQUIRE(gate.seen() == warmth{6, false});
}

TEST_CASE("a failed connect of a host not yet answered leaves the target warm")
{
    target_gate gate;
    gate.configure(bounds_of_steward(false), start);
    gate.observe({5, true}, start);
    REQUIRE(gate.try_acquire(start));
    gate.release(attempt_outcome::connect_failed, 1ms, {}, start);
    REQUIRE(gate.seen() == warmth{5, true});
    REQUIRE_FALSE(gate.open(start + 10ms)); // backs off
    REQUIRE(gate.open(start + 2s));
}

TEST_CASE("a latency measured across a process pause barely moves the limit")
{
    target_gate gate;
    gate.configure(bounds_of_steward(false), start);
    gate.observe({5, true}, start);
    auto now = start;
    auto const serve = [&](duration latency)
    {
        while (!gate.try_acquire(now))
        {
            now += 1ms;
        }
        now += latency;
        gate.release(attempt_outcome::answered, latency, {}, now);
    };
    for (int i = 0; i < 300; ++i)
    {
        serve(5ms);
    }
    double const before = gate.status().limit;
    serve(30s);
    REQUIRE(gate.status().limit >= before * 0.8);
    REQUIRE(gate.latency() < 10ms);
    for (int i = 0; i < 50; ++i)
    {
        serve(5ms);
    }
    REQUIRE(gate.status().limit >= before * 0.9);
}

TEST_CASE("attempts that time out together after a pause count as one failure")
{
    auto bounds = bounds_of_steward(false);
    bounds.hosts = 1;
    target_gate gate;
    gate.configure(bounds, start);
    gate.observe({5, true}, start);
    for (std::uint32_t i = 0; i < bounds.slots; ++i)
    {
        REQUIRE(gate.try_acquire(start));
    }
    for (std::uint32_t i = 0; i < bounds.slots; ++i)
    {
        gate.release(attempt_outcome::timed_out, 30s, {}, start + 30s);
    }
    REQUIRE(gate.seen().warm);
    REQUIRE(gate.status().limit == bounds.slots / 2.0);
}

TEST_CASE("answers slower than those of the warm target delay the warm-up")
{
    target_gate gate;
    gate.configure(bounds_of_steward(true), start);
    auto now = start;
    REQUIRE(warm_up(gate, now)); // with a latency of 5 ms
    gate.on_connection_lost(now);
    now += 1s;
    for (int i = 0; i < 100; ++i, now += 20ms)
    {
        REQUIRE(gate.try_acquire(now));
        gate.release(attempt_outcome::answered, 15ms, {}, now + 15ms);
    }
    REQUIRE(gate.status().limit == 1);
    auto slower = now;
    while (!gate.seen().warm && slower < now + 1min)
    {
        if (gate.try_acquire(slower))
        {
            gate.release(attempt_outcome::answered, 15ms, {}, slower + 15ms);
        }
        slower += 20ms;
    }
    // The baseline adapts, so a target that stays slow becomes warm eventually.
    REQUIRE(gate.seen().warm);
}

TEST_CASE("fast failures draw no traffic, malformed answers turn it cold")
{
    for (auto const outcome :
         {attempt_outcome::failed, attempt_outcome::malformed})
    {
        target_gate gate;
        gate.configure(bounds_of_steward(false), start);
        gate.observe({5, true}, start);
        int sends = 0;
        for (auto now = start; now < start + 10s; now += 1ms)
        {
            if (gate.try_acquire(now))
            {
                ++sends;
                gate.release(outcome, 1ms, {}, now + 1ms);
            }
        }
        REQUIRE(sends < 100); // of 10000 tried
        REQUIRE(gate.seen().warm == (outcome == attempt_outcome::failed));
    }
}
