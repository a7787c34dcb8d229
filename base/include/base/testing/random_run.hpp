// Property tests over random steps: finds a failing run and cuts it down to
// the steps that matter. For tests only.
#ifndef KUMQUATRAMP_BASE_TESTING_RANDOM_RUN_HPP
#define KUMQUATRAMP_BASE_TESTING_RANDOM_RUN_HPP

#include <algorithm>
#include <base/seeded_random.hpp>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace kumquatramp::testing
{

/// The seeds of a run's steps. Each step draws from its own seed alone, so
/// that it stays the same when others are left out.
using step_seeds = std::vector<std::uint64_t>;

/// Runs the steps on a fresh World until it has a fault. World needs:
///
///     void step(std::uint64_t seed);
///     std::string fault() const;             // empty while all is well
///     std::vector<std::string> log() const;  // what the steps did
template <class World>
std::size_t run_steps(World& world, step_seeds const& seeds)
{
    std::size_t done = 0;
    while (done < seeds.size() && world.fault().empty())
    {
        world.step(seeds[done]);
        ++done;
    }
    return done;
}

template <class World>
bool fails(step_seeds const& seeds)
{
    World world;
    run_steps(world, seeds);
    return !world.fault().empty();
}

/// Leaves out ever smaller parts of a failing run while it still fails.
template <class World>
step_seeds shrink(step_seeds seeds)
{
    for (auto part = seeds.size() / 2; part > 0; part /= 2)
    {
        std::size_t first = 0;
        while (first < seeds.size())
        {
            auto const end = std::min(first + part, seeds.size());
            auto fewer = seeds;
            fewer.erase(fewer.begin() + static_cast<std::ptrdiff_t>(first),
                        fewer.begin() + static_cast<std::ptrdiff_t>(end));
            if (fails<World>(fewer))
            {
                seeds = std::move(fewer);
            }
            else
            {
                first = end;
            }
        }
    }
    return seeds;
}

inline step_seeds make_steps(std::uint64_t seed, std::size_t count)
{
    seeded_random random(seed);
    step_seeds seeds(count);
    std::generate(seeds.begin(), seeds.end(),
                  [&random] { return random.next(); });
    return seeds;
}

/// Empty if the world comes through; else its fault and the shrunk trace.
template <class World>
std::string find_failure(World& world, std::uint64_t seed, std::size_t count)
{
    auto seeds = make_steps(seed, count);
    auto const done = run_steps(world, seeds);
    if (world.fault().empty())
    {
        return {};
    }
    seeds.resize(done);
    auto const shrunk = shrink<World>(seeds);
    World again;
    run_steps(again, shrunk);
    auto text = again.fault() + "\nseed " + std::to_string(seed) +
                ", shrunk from " + std::to_string(done) + " to " +
                std::to_string(shrunk.size()) + " steps:";
    for (auto const& line : again.log())
    {
        text += "\n  " + line;
    }
    return text;
}

} // namespace kumquatramp::testing

#endif
