// Compares fixed limits with the adaptive limit: 16 hosts and one group of
// three targets with four slots each, at half, full and twice the capacity.
// Fails if the adaptive limit misses its bounds, which are ratios within the
// same run.
#include "warm_fleet.hpp"
#include <cstdio>

using namespace kumquatramp;

namespace
{

struct policy
{
    char const* name;
    warm_fleet::factory make;
};

fleet_results measure(policy const& p, double load)
{
    warm_fleet fleet{1, load, p.make, [](load_report truth) { return truth; }};
    return fleet.run(10s, 60s);
}

double milliseconds(duration d)
{
    return std::chrono::duration<double, std::milli>(d).count();
}

void print(policy const& p, double load, fleet_results const& f)
{
    std::printf("%-14s load %.1f: on time %5.1f%%, p50 %5.1f ms, p99 %6.1f ms, "
                "refusals %5.1f per 100\n",
                p.name, load, 100 * f.on_time / f.offered,
                milliseconds(f.quantile(0.5)), milliseconds(f.quantile(0.99)),
                100 * f.refusals / f.offered);
}

bool check(bool holds, char const* what)
{
    std::printf("%s: %s\n", holds ? "holds" : "MISSED", what);
    return holds;
}

} // namespace

int main()
{
    policy const one{"fixed 1",
                     [] { return std::make_unique<fixed_limiter>(1); }};
    policy const full{
        "fixed slots",
        [] { return std::make_unique<fixed_limiter>(warm_fleet::slots); }};
    policy const adaptive{"adaptive", []
                          {
                              return std::make_unique<gate_limiter>(
                                  warm_fleet::slots, warm_fleet::hosts,
                                  time_point{1h});
                          }};
    bool all_hold = true;
    for (double const load : {0.5, 1.0, 2.0})
    {
        auto const a = measure(one, load);
        auto const b = measure(full, load);
        auto const c = measure(adaptive, load);
        print(one, load, a);
        print(full, load, b);
        print(adaptive, load, c);
        auto const best = std::max(a.on_time, b.on_time);
        all_hold &= check(c.on_time >= 0.97 * best,
                          "adaptive answers on time >= 0.97 of the best fixed");
        all_hold &= check(c.refusals <= 0.5 * b.refusals + 0.01 * c.offered,
                          "adaptive refusals <= half of fixed slots' + 1%");
    }
    return all_hold ? 0 : 1;
}
