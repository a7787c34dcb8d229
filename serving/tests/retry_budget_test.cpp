// Fleet-wide limits that hosts keep without communication: the retry budget and
// the warm-up share.
#include <base/seeded_random.hpp>
#include <catch2/catch.hpp>
#include <deque>
#include <serving/retry_budget.hpp>
#include <serving/warmup_share.hpp>
#include <vector>

namespace kumquatramp::serving
{

namespace
{

constexpr double ratio = 0.2;
constexpr double slack = 116;
constexpr duration window = 10s;
constexpr time_point start = time_point(1h);

/// Times of requests and extra sends of all hosts.
struct fleet_traffic
{
    std::deque<time_point> requests;
    std::deque<time_point> extras;

    /// Whether the extra sends in every window that begins at one of them are
    /// within the limit. The limit uses the largest number of requests in three
    /// windows: the same one, and those that begin half a window and a whole
    /// window earlier.
    bool within_bound() const
    {
        for (time_point const from : extras)
        {
            auto const within =
                [&](std::deque<time_point> const& times, duration shift)
            {
                return std::count_if(times.begin(), times.end(),
                                     [&](time_point t) {
                                         return t >= from - shift &&
                                                t < from - shift + window;
                                     });
            };
            auto const requests_seen =
                std::max({within(requests, 0ns), within(requests, window),
                          within(requests, window / 2)});
            if (static_cast<double>(within(extras, 0ns)) >
                ratio * static_cast<double>(requests_seen) + slack)
            {
                return false;
            }
        }
        return true;
    }
};

std::vector<retry_budget> budgets(int hosts, time_point started)
{
    std::vector<retry_budget> all(static_cast<std::size_t>(hosts));
    for (auto& b : all)
    {
        b.configure(ratio, slack, window, started);
    }
    return all;
}

} // namespace

TEST_CASE(
    "load pattern all overdue: extra sends stay within the fleet-wide limit")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
    {
        constexpr int hosts = 15;
        seeded_random random(seed);
        auto all = budgets(hosts, start - 1h);
        fleet_traffic count;
        time_point now = start;
        for (int i = 0; i < 6000; ++i)
        {
            // The request rate alternates; each request asks for an extra send.
            now += i / 1500 % 2 == 0 ? 4ms : 9ms;
            auto& b = all[random.below(hosts)];
            b.count_request(now);
            count.requests.push_back(now);
            if (b.spend(retry_budget::use::retry, hosts, now))
            {
                count.extras.push_back(now);
            }
        }
        INFO("seed " << seed);
        CHECK(count.extras.size() > 500);
        CHECK(count.within_bound());
    }
}

TEST_CASE("load pattern herd kill: hosts restarted together do not spend the "
          "slack a second time")
{
    constexpr int hosts = 18;
    seeded_random random(9);
    auto all = budgets(hosts, start - 1h);
    fleet_traffic count;
    time_point now = start;
    for (int i = 0; i < 9000; ++i)
    {
        now += 4ms;
        if (i == 3000 || i == 3600 || i == 4200)
        {
            all = budgets(hosts, now);
        }
        auto& b = all[random.below(hosts)];
        b.count_request(now);
        count.requests.push_back(now);
        if (b.spend(retry_budget::use::retry, hosts, now))
        {
            count.extras.push_back(now);
        }
    }
    CHECK(count.within_bound());
}

TEST_CASE(
    "load pattern rolling restart: a surge of retries while hosts restart "
    "one after the other stays within the fleet-wide limit")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
    {
        constexpr int hosts = 15;
        seeded_random random(seed);
        auto all = budgets(hosts, start - 1h);
        fleet_traffic count;
        time_point now = start;
        for (int i = 0; i < 6000; ++i)
        {
            now += 5ms;
            // From 15 s on every request asks for an extra send; from 18 s on
            // one host restarts every 600 ms.
            bool const surge = now >= start + 15s;
            int const restarted = static_cast<int>((now - start - 18s) / 600ms);
            if (now >= start + 18s && restarted < hosts &&
                (now - start - 18s) % 600ms < 5ms)
            {
                all[static_cast<std::size_t>(restarted)] =
                    budgets(1, now).front();
            }
            auto& b = all[random.below(hosts)];
            b.count_request(now);
            count.requests.push_back(now);
            if (surge && b.spend(retry_budget::use::retry, hosts, now))
            {
                count.extras.push_back(now);
            }
        }
        INFO("seed " << seed);
        CHECK(count.within_bound());
    }
}

TEST_CASE("hedges leave a share of the budget for retries")
{
    auto b = budgets(1, start - 1h).front();
    for (int i = 0; i < 100; ++i)
    {
        b.count_request(start);
    }
    int hedges = 0;
    while (b.spend(retry_budget::use::hedge, 1, start))
    {
        ++hedges;
    }
    CHECK(hedges > 0);
    CHECK(b.mostly_spent(1, start));
    CHECK(b.spend(retry_budget::use::retry, 1, start));
}

TEST_CASE("all hosts together stay within the rate of a cold target")
{
    for (double const rate : {3.0, 20.0, 200.0})
    {
        constexpr int hosts = 137;
        std::vector<warmup_share> all;
        all.reserve(hosts);
        for (int i = 0; i < hosts; ++i)
        {
            all.emplace_back("host-" + std::to_string(i));
        }
        std::deque<time_point> sent;
        time_point now = start;
        std::size_t most = 0;
        for (int ms = 0; ms < 5000; ++ms)
        {
            now += 1ms;
            for (int i = 0; i < hosts; ++i)
            {
                if (all[static_cast<std::size_t>(i)].spend("t", rate, i, hosts,
                                                           now))
                {
                    sent.push_back(now);
                }
            }
            while (!sent.empty() && sent.front() <= now - 1s)
            {
                sent.pop_front();
            }
            most = std::max(most, sent.size());
        }
        CHECK(static_cast<double>(most) <= rate);
        CHECK(static_cast<double>(most) >= rate * 0.9);
    }
}

} // namespace kumquatramp::serving
