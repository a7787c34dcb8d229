// Property-based testing with random steps: finds a failing run and shrinks it
// to the steps that are needed for the failure. For tests only.
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

/// Seeds of the steps of a run. A step depends on its own seed alone, so that
/// its random numbers stay the same when other steps are removed.
using step_seeds = std::vector<std::uint64_t>;

/// Runs the steps on `world`, which must be newly constructed, until it reports
/// a fault. Returns the number of steps run. World must provide:
///
///     void step(std::uint64_t seed);
///     std::string fault() const;             // empty if no fault
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

/// Whether the steps lead to a fault in a new World.
template <class World>
bool fails(step_seeds const& seeds)
{
    World world;
    run_steps(world, seeds);
    return !world.fault().empty();
}

/// Shrinks a failing run: removes chunks of steps, of decreasing size, as long
/// as the run still fails.
template <class World>
step_seeds shrink(step_seeds seeds)
{
    for (auto chunk_size = seeds.size() / 2; chunk_size > 0; chunk_size /= 2)
    {
        std::size_t first = 0;
        while (first < seeds.size())
        {
            auto const end = std::min(first + chunk_size, seeds.size());
            auto shorter = seeds;
            shorter.erase(shorter.begin() + static_cast<std::ptrdiff_t>(first),
                          shorter.begin() + static_cast<std::ptrdiff_t>(end));
            if (fails<World>(shorter))
            {
                seeds = std::move(shorter);
            }
            else
            {
                first = end;
            }
        }
    }
    return seeds;
}

/// Generates the seeds of `count` steps from one seed.
inline step_seeds make_steps(std::uint64_t seed, std::size_t count)
{
    seeded_random random(seed);
    step_seeds seeds(count);
    std::generate(seeds.begin(), seeds.end(),
                  [&random] { return random.next(); });
    return seeds;
}

/// Runs `count` random steps. Returns an empty string if no fault occurs;
/// otherwise the fault and the log of the shrunk run.
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
    World replay;
    run_steps(replay, shrunk);
    auto text = replay.fault() + "\nseed " + std::to_string(seed) +
                ", shrunk from " + std::to_string(done) + " to " +
                std::to_string(shrunk.size()) + " steps:";
    for (auto const& line : replay.log())
    {
        text += "\n  " + line;
    }
    return text;
}

} // namespace kumquatramp::testing

#endif
