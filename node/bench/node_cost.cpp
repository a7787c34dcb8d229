// Benchmark of the CPU time and memory of one node by number of known targets
// and hosts.
#include "single_host.hpp"
#include <benchmark/benchmark.h>
#include <malloc.h>
#include <map>

namespace kumquatramp
{

namespace
{

constexpr std::uint32_t few_hosts = 16;

// Warming up a host is slow, so benchmarks of the same size share one.
single_host& warm_host(std::uint32_t targets, std::uint32_t shards)
{
    static std::map<std::pair<std::uint32_t, std::uint32_t>,
                    std::unique_ptr<single_host>>
        all;
    auto& host = all[{targets, shards}];
    if (!host)
    {
        host = std::make_unique<single_host>(targets, shards, 1);
        host->warm_up();
    }
    return *host;
}

void query_cost(benchmark::State& state)
{
    auto const targets = static_cast<std::uint32_t>(state.range(0));
    auto const shards = static_cast<std::uint32_t>(state.range(1));
    auto& host = warm_host(targets, shards);
    double coverage = 0;
    std::uint64_t queries = 0;
    for (auto _ : state)
    {
        coverage += host.query();
        ++queries;
        if (queries % 100 == 0)
        {
            state.PauseTiming();
            host.round();
            state.ResumeTiming();
        }
    }
    state.counters["coverage"] = coverage / static_cast<double>(queries);
    state.counters["per_sub_request"] = benchmark::Counter(
        static_cast<double>(queries * shards),
        benchmark::Counter::kIsRate | benchmark::Counter::kInvert);
}

void round_cost(benchmark::State& state)
{
    single_host host(static_cast<std::uint32_t>(state.range(0)), 10,
                     static_cast<std::uint32_t>(state.range(1)));
    for (auto _ : state)
    {
        host.round();
    }
}

void apply_cost(benchmark::State& state)
{
    single_host host(static_cast<std::uint32_t>(state.range(0)), 10, few_hosts);
    for (auto _ : state)
    {
        host.change_catalogue();
    }
}

void memory(benchmark::State& state)
{
    double bytes = 0;
    for (auto _ : state)
    {
        auto const before = mallinfo2().uordblks;
        single_host host(static_cast<std::uint32_t>(state.range(0)), 10,
                         static_cast<std::uint32_t>(state.range(1)));
        host.round();
        bytes = static_cast<double>(mallinfo2().uordblks - before);
    }
    state.counters["bytes"] = bytes;
}

} // namespace

BENCHMARK(query_cost)
    ->Args({30, 10})
    ->Args({183, 61})
    ->Args({1000, 61})
    ->Args({5200, 61})
    ->Unit(benchmark::kMicrosecond);
BENCHMARK(round_cost)
    ->Args({30, 16})
    ->Args({1000, 16})
    ->Args({5200, 16})
    ->Args({30, 256})
    ->Args({30, 1000})
    ->Args({5200, 1000})
    ->Unit(benchmark::kMicrosecond);
BENCHMARK(apply_cost)
    ->Arg(30)
    ->Arg(1000)
    ->Arg(5200)
    ->Unit(benchmark::kMicrosecond);
BENCHMARK(memory)
    ->Args({30, 16})
    ->Args({1000, 16})
    ->Args({5200, 16})
    ->Args({30, 1000})
    ->Args({5200, 1000})
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

} // namespace kumquatramp

BENCHMARK_MAIN();
