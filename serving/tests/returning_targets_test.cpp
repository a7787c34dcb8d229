// Load pattern: all targets of a service are down for a while and return cold,
// under the ids that they had, before the registry has told every host.
#include "engine_fixture.hpp"
#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <deque>
#include <set>

namespace kumquatramp::serving
{

namespace
{

using testing::engine_fixture;

constexpr int target_count = 3;
constexpr duration step = 10ms;
constexpr duration outage = 4500ms;
/// The registry drops the entry of a silent target after this time.
constexpr duration entry_lapse = 3600ms;
constexpr duration warmup = 3s;
/// Share of requests that a target refuses, being full.
constexpr double refuse_share = 0.4;
/// Latest time from a registry entry to a host's knowledge of it.
constexpr duration news_time = 500ms;
/// Bound of the platform on the requests to a cold target in a second.
constexpr double allowed_factor = 1.5;
constexpr double allowed_extra = 5.0;

std::string target_id(int index)
{
    return "orders-" + std::to_string(index);
}

/// A target process, as seen from outside.
struct target_process
{
    time_point down_at = never;
    time_point up_at = never;
    std::deque<time_point> cold_arrivals{};

    bool is_up(time_point now) const { return now < down_at || now >= up_at; }
};

/// One host with its own knowledge of the targets.
class simulated_host final : public engine_fixture
{
public:
    simulated_host(std::uint64_t seed, int rank, int hosts, double rate)
        : engine_fixture(default_options(), seed)
    {
        fleet.count = hosts;
        fleet.place = rank;
        catalogue_data data;
        data.version = 1;
        route once;
        once.name = "once";
        once.host = "shop.example";
        once.prefix = "/once/";
        once.timeout = 4s;
        once.latency_objective = 600ms;
        once.max_attempts = 2;
        once.split = {{"orders", 1.0}};
        data.routes.push_back(once);
        data.services.push_back({"orders", "/healthz", 0, rate});
        engine.set_catalogue(std::make_shared<route_catalogue const>(data));
        for (int i = 0; i < target_count; ++i)
        {
            put(i, 1, duration::zero());
        }
    }

    void put(int index, std::int64_t incarnation, duration warmup_left)
    {
        table.put({.id = target_id(index),
                   .service = "orders",
                   .address = "10.0.0.1:80",
                   .zone = "zone-a",
                   .slots = 4,
                   .warmup_left = warmup_left,
                   .incarnation_start_ms = incarnation},
                  now);
    }

    void start_attempt(attempt_order const& order) override
    {
        engine_fixture::start_attempt(order);
        started.push_back(order.to);
    }

    std::vector<std::shared_ptr<target>> started;
    std::set<std::string> connected; ///< ids with an open connection
    std::array<time_point, target_count> told_at{never, never, never};
};

class returning_service
{
public:
    returning_service(std::uint64_t seed, int hosts, double rate,
                      double demand_s)
        : random_(seed)
        , demand_s_(demand_s)
    {
        for (int i = 0; i < hosts; ++i)
        {
            hosts_.push_back(std::make_unique<simulated_host>(
                seed * 100 + static_cast<std::uint64_t>(i), i, hosts, rate));
        }
        time_point const down_at = hosts_.front()->now + 2s;
        for (auto& p : processes_)
        {
            p.down_at = down_at;
            p.up_at = down_at + outage + random_time(1s);
        }
        for (auto& h : hosts_)
        {
            for (std::size_t i = 0; i < processes_.size(); ++i)
            {
                h->told_at[i] = processes_[i].up_at + random_time(news_time);
            }
        }
    }

    void run()
    {
        time_point const start = hosts_.front()->now;
        for (time_point now = start; now < start + 12s; now += step)
        {
            for (auto& h : hosts_)
            {
                turn(*h, now);
            }
        }
    }

    /// Most requests that reached a cold target in a second.
    std::size_t most_in_a_second() const
    {
        std::size_t most = 0;
        for (auto const& p : processes_)
        {
            auto const& at = p.cold_arrivals;
            for (std::size_t i = 0, first = 0; i < at.size(); ++i)
            {
                while (at[first] <= at[i] - 1s)
                {
                    ++first;
                }
                most = std::max(most, i - first + 1);
            }
        }
        return most;
    }

    std::size_t arrivals() const
    {
        std::size_t sum = 0;
        for (auto const& p : processes_)
        {
            sum += p.cold_arrivals.size();
        }
        return sum;
    }

private:
    duration random_time(duration most)
    {
        return std::chrono::duration_cast<duration>(most * random_.unit());
    }

    void turn(simulated_host& h, time_point now)
    {
        h.advance(now - h.now);
        h.table.tick(now);
        for (int i = 0; i < target_count; ++i)
        {
            auto const& p = processes_[static_cast<std::size_t>(i)];
            if (!p.is_up(now))
            {
                h.connected.erase(target_id(i));
            }
            if (now >= p.down_at + entry_lapse && now < p.up_at)
            {
                h.table.remove(target_id(i), now);
            }
            if (now >= h.told_at[static_cast<std::size_t>(i)])
            {
                h.told_at[static_cast<std::size_t>(i)] = never;
                h.put(i, 2, warmup - (now - p.up_at));
            }
        }
        if (random_.unit() <
            demand_s_ * std::chrono::duration<double>(step).count())
        {
            h.submit(++last_request_, "/once/x", 4s);
        }
        while (!h.started.empty())
        {
            auto const to = h.started.back();
            h.started.pop_back();
            arrive(h, *to, now);
        }
    }

    void arrive(simulated_host& h, target const& to, time_point now)
    {
        auto& p =
            processes_[static_cast<std::size_t>(to.record.id.back() - '0')];
        if (!p.is_up(now))
        {
            h.table.mark_unreachable(to, now);
            h.reply(to.record.id, reply_kind::not_sent);
            return;
        }
        if (h.connected.insert(to.record.id).second)
        {
            h.table.mark_reachable(to, now);
        }
        if (now >= p.up_at && now < p.up_at + warmup)
        {
            p.cold_arrivals.push_back(now);
        }
        if (random_.unit() < refuse_share)
        {
            h.reply(to.record.id, reply_kind::not_executed, 503);
            return;
        }
        h.reply_ok(to.record.id);
    }

    seeded_random random_;
    double demand_s_;
    std::vector<std::unique_ptr<simulated_host>> hosts_;
    std::array<target_process, target_count> processes_;
    request_handle last_request_ = 0;
};

} // namespace

// Guards against a target that returns cold under its id and gets the whole
// load, as a warm one, until the registry has told of its restart.
TEST_CASE("load pattern cold return: targets that return under their ids get "
          "no more than a cold target may")
{
    int const hosts = GENERATE(1, 6, 12, 20);
    double const rate = GENERATE(1.0, 4.0, 10.0, 20.0);
    double const demand = GENERATE(1.0, 10.0, 40.0);
    CAPTURE(hosts, rate, demand);
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
    {
        CAPTURE(seed);
        returning_service service(seed, hosts, rate, demand);
        service.run();
        CHECK(static_cast<double>(service.most_in_a_second()) <=
              allowed_factor * rate + allowed_extra);
        CHECK(service.arrivals() > 0);
    }
}

} // namespace kumquatramp::serving
