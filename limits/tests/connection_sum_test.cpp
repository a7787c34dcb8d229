// Guards against exceeding the connection limit of a target: the connections of
// all hosts together must stay within it while hosts join, leave, pause and
// disagree about the number of hosts.
#include <catch2/catch.hpp>
#include <limits/target_gate.hpp>
#include <memory>
#include <random>
#include <vector>

using namespace kumquatramp;

namespace
{

constexpr std::uint32_t connection_limit = 80;
constexpr duration max_view_lag = 6s; // until every host sees a change

/// Maximum number of hosts that join within hold_off + max_view_lag: the
/// reserved tenth of the connection limit.
constexpr std::uint32_t spare_connections = connection_limit / 10;

struct host
{
    std::unique_ptr<target_gate> gate = std::make_unique<target_gate>();
    time_point joined;
    time_point left = never; // its connections close at that time
    time_point paused_until{};
    duration lag{0}; // of its view of the other hosts
    std::uint32_t held = 0;
};

/// Simulated hosts, each with its own delayed view of the others.
class connection_fleet
{
public:
    explicit connection_fleet(std::uint64_t seed)
        : random_(seed)
    {
        for (int i = 0; i < 16; ++i)
        {
            add(now_ - 1h);
        }
        for (auto& h : hosts_)
        {
            refresh(h, now_ - 1h);
            refresh(h, now_ - 30min);
        }
    }

    /// Returns the highest total of connections held at one time.
    std::uint32_t run(duration length)
    {
        std::uint32_t max_sum = 0;
        for (auto const end = now_ + length; now_ < end; now_ += 50ms)
        {
            apply_random_changes();
            std::uint32_t sum = 0;
            for (auto& h : hosts_)
            {
                if (now_ >= h.paused_until && random_below(10) == 0)
                {
                    refresh(h, now_);
                }
                sum += now_ < h.left ? h.held : 0;
            }
            max_sum = std::max(max_sum, sum);
        }
        return max_sum;
    }

private:
    std::uint64_t random_below(std::uint64_t n) { return random_() % n; }

    void add(time_point joined)
    {
        hosts_.emplace_back();
        hosts_.back().joined = joined;
        hosts_.back().lag = std::chrono::milliseconds(random_below(5500));
    }

    /// Counts a host from the time the viewer learns that it joined until the
    /// viewer learns that it left; never below the number of hosts known to
    /// run.
    std::uint32_t count_of(host const& viewer, time_point now) const
    {
        std::uint32_t count = 0;
        for (auto const& h : hosts_)
        {
            auto const lag = &h == &viewer ? duration{0} : viewer.lag;
            bool const known = h.joined + lag <= now;
            bool const gone = h.left != never && h.left + viewer.lag <= now;
            count += known && !gone ? 1 : 0;
        }
        return std::max(count, 1U);
    }

    void refresh(host& h, time_point now)
    {
        target_bounds bounds;
        bounds.slots = 4;
        bounds.connections = connection_limit;
        bounds.hosts = count_of(h, now);
        h.gate->configure(bounds, now);
        h.held = h.gate->connection_share();
    }

    void apply_random_changes()
    {
        if (random_below(60) == 0)
        {
            auto& h = hosts_[random_below(hosts_.size())];
            h.left = std::min(h.left, now_);
        }
        if (random_below(60) == 0 && recent_joins() < spare_connections)
        {
            add(now_);
            refresh(hosts_.back(), now_);
        }
        if (random_below(200) == 0)
        {
            hosts_[random_below(hosts_.size())].paused_until =
                now_ + std::chrono::milliseconds(random_below(3000));
        }
    }

    std::uint32_t recent_joins() const
    {
        std::uint32_t count = 0;
        for (auto const& h : hosts_)
        {
            bool const recent =
                now_ - h.joined <= connection_budget::hold_off + max_view_lag;
            count += recent && now_ < h.left ? 1 : 0;
        }
        return count;
    }

    std::mt19937_64 random_;
    time_point now_{2h};
    std::vector<host> hosts_;
};

} // namespace

TEST_CASE("the connections of all hosts stay within the target's limit")
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed)
    {
        CAPTURE(seed);
        connection_fleet fleet{seed};
        REQUIRE(fleet.run(5min) <= connection_limit);
    }
}

TEST_CASE("a connection share falls immediately and rises after the hold-off")
{
    target_gate gate;
    time_point const start{1h};
    target_bounds bounds;
    bounds.connections = 80;
    bounds.hosts = 16;
    gate.configure(bounds, start);
    REQUIRE(gate.connection_share() == 1);
    auto const settled = start + connection_budget::hold_off;
    gate.configure(bounds, settled);
    REQUIRE(gate.connection_share() == 4);
    bounds.hosts = 18;
    gate.configure(bounds, settled + 1s);
    bounds.hosts = 8;
    gate.configure(bounds, settled + 2s);
    REQUIRE(gate.connection_share() == 4);
    bounds.hosts = 100;
    gate.configure(bounds, settled + 3s);
    REQUIRE(gate.connection_share() == 0);
    bounds.hosts = 8;
    gate.configure(bounds, settled + 4s);
    gate.configure(bounds, settled + 4s + connection_budget::hold_off - 1ms);
    REQUIRE(gate.connection_share() == 0);
    gate.configure(bounds, settled + 4s + connection_budget::hold_off);
    REQUIRE(gate.connection_share() == 9);
}
