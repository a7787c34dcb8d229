// Load pattern: a burst at a service most of whose targets state a limit near
// one request a second, while hosts restart and disagree on the fleet.
#include <algorithm>
#include <base/seeded_random.hpp>
#include <catch2/catch.hpp>
#include <deque>
#include <optional>
#include <serving/stated_rate.hpp>
#include <vector>

namespace kumquatramp::serving
{

namespace
{

constexpr time_point start(1h);
constexpr duration run_length = 80s;
constexpr duration step = 20ms;
/// Time from a send until its answer states the limit.
constexpr duration answer_time = 160ms;
/// Window and allowance of the platform's rule on stated limits.
constexpr duration rule_window = 4s;
constexpr double allowed_factor = 1.5;
constexpr double allowed_extra = 5.0;

/// One host of the simulated fleet.
struct simulated_host
{
    stated_rate rate{};
    bool told = false; ///< an answer has stated the limit in this life
    fleet_place place{};
    time_point down_until{};
    std::deque<time_point> answers_due{};
};

struct fleet_options
{
    int hosts = 15;
    double limit = 1.0;
    bool restarts = false;  ///< a host restarts every two seconds
    bool disagree = false;  ///< hosts miss up to a tenth of the fleet
    double demand_s = 50.0; ///< requests a second and host, doubled in bursts
};

/// A fleet that sends to one target as much as its hosts' shares allow.
class limited_target_fleet
{
public:
    explicit limited_target_fleet(fleet_options options)
        : options_(options)
        , hosts_(static_cast<std::size_t>(options.hosts))
    {
        for (int i = 0; i < options.hosts; ++i)
        {
            hosts_[static_cast<std::size_t>(i)].place = seen_place(i);
        }
    }

    void run()
    {
        time_point next_restart = start + 5s;
        for (time_point now = start; now < start + run_length; now += step)
        {
            if (options_.restarts && now >= next_restart)
            {
                next_restart = now + 2s;
                restart(random_.below(hosts_.size()), now);
            }
            for (auto& host : hosts_)
            {
                turn(host, now);
            }
        }
    }

    /// Most sends of told hosts in a window of this length.
    std::size_t most_in(duration window) const
    {
        std::size_t most = 0;
        std::size_t first = 0;
        for (std::size_t i = 0; i < told_sends_.size(); ++i)
        {
            while (told_sends_[first] <= told_sends_[i] - window)
            {
                ++first;
            }
            most = std::max(most, i - first + 1);
        }
        return most;
    }

    /// Fewest sends in a window of this length that begins after the first
    /// ten seconds.
    std::size_t fewest_in(duration window) const
    {
        std::size_t fewest = told_sends_.size();
        for (time_point from = start + 10s; from + window <= start + run_length;
             from += 1s)
        {
            auto const inside = static_cast<std::size_t>(
                std::count_if(told_sends_.begin(), told_sends_.end(),
                              [&](time_point at)
                              { return at >= from && at < from + window; }));
            fewest = std::min(fewest, inside);
        }
        return fewest;
    }

private:
    /// The place that a host computes from the part of the fleet it knows.
    fleet_place seen_place(int true_rank)
    {
        if (!options_.disagree)
        {
            return {.rank = true_rank, .hosts = options_.hosts};
        }
        int rank = 0;
        int known = 1;
        for (int other = 0; other < options_.hosts; ++other)
        {
            if (other != true_rank && random_.unit() >= 0.1)
            {
                ++known;
                rank += other < true_rank ? 1 : 0;
            }
        }
        return {.rank = rank, .hosts = known};
    }

    void restart(std::size_t index, time_point now)
    {
        auto& host = hosts_[index];
        host = simulated_host{.place = host.place, .down_until = now + 1s};
    }

    bool wants(time_point now)
    {
        bool const burst = (now - start) % 15s < 5s;
        double const per_step = options_.demand_s * (burst ? 2.0 : 1.0) *
                                std::chrono::duration<double>(step).count();
        return random_.unit() < per_step;
    }

    void turn(simulated_host& host, time_point now)
    {
        if (now < host.down_until)
        {
            return;
        }
        while (!host.answers_due.empty() && host.answers_due.front() <= now)
        {
            host.answers_due.pop_front();
            host.rate.update(options_.limit, now);
            host.told = true;
        }
        if (!wants(now) || host.rate.wait(host.place, now) > duration::zero())
        {
            return;
        }
        host.rate.spend(host.place, now);
        host.answers_due.push_back(now + answer_time);
        if (host.told)
        {
            told_sends_.push_back(now);
        }
    }

    fleet_options options_;
    seeded_random random_{7};
    std::vector<simulated_host> hosts_;
    std::vector<time_point> told_sends_; ///< in order
};

double allowed(double limit)
{
    return allowed_factor * limit *
               std::chrono::duration<double>(rule_window).count() +
           allowed_extra;
}

} // namespace

TEST_CASE("a burst keeps the sum over hosts within a small stated limit")
{
    int const hosts = GENERATE(15, 106, 195);
    double const limit = GENERATE(0.2, 0.5, 1.0, 1.1, 2.0, 5.0);
    bool const troubled = GENERATE(false, true);
    double const demand = GENERATE(50.0, 2.0);
    CAPTURE(hosts, limit, troubled, demand);
    limited_target_fleet fleet({.hosts = hosts,
                                .limit = limit,
                                .restarts = troubled,
                                .disagree = troubled,
                                .demand_s = demand});
    fleet.run();
    CHECK(static_cast<double>(fleet.most_in(rule_window)) <= allowed(limit));
    // Half of what is stated serves requests.
    CHECK(static_cast<double>(fleet.fewest_in(20s)) >= 0.5 * 20.0 * limit);
}

} // namespace kumquatramp::serving
