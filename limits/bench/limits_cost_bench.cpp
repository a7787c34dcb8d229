// Measures the time of each limit decision and the size of a gate.
#include <benchmark/benchmark.h>
#include <limits/admission.hpp>
#include <limits/latency_window.hpp>
#include <limits/ratio_budget.hpp>
#include <limits/target_gate.hpp>
#include <random>
#include <string>
#include <vector>

using namespace kumquatramp;

namespace
{

std::vector<std::unique_ptr<target_gate>> warm_gates(std::size_t count)
{
    std::vector<std::unique_ptr<target_gate>> gates;
    target_bounds bounds;
    bounds.slots = 4;
    bounds.connections = 80;
    for (std::size_t i = 0; i < count; ++i)
    {
        gates.push_back(std::make_unique<target_gate>());
        gates.back()->configure(bounds, time_point{1h});
        gates.back()->observe({1, true}, time_point{1h});
    }
    return gates;
}

/// One attempt: comparison of three loads, permit, final check, answer.
void bm_gate_one_send(benchmark::State& state)
{
    auto const count = static_cast<std::size_t>(state.range(0));
    auto const gates = warm_gates(count);
    time_point now{2h};
    std::size_t next = 0;
    for (auto _ : state)
    {
        now += 10ms;
        next = (next + 7919) % count;
        double load = gates[next]->load(now);
        load += gates[(next + 1) % count]->load(now);
        load += gates[(next + 2) % count]->load(now);
        benchmark::DoNotOptimize(load);
        auto& gate = *gates[next];
        if (gate.try_acquire(now) && gate.may_send(now))
        {
            gate.release(attempt_outcome::answered, 5ms, load_report{1, 0},
                         now + 5ms);
        }
    }
    state.counters["bytes"] = sizeof(target_gate);
}
BENCHMARK(bm_gate_one_send)->Arg(30)->Arg(1000)->Arg(5200);

void bm_admission(benchmark::State& state)
{
    admission_controller controller{2000};
    std::vector<caller_name> callers;
    callers.reserve(static_cast<std::size_t>(state.range(0)));
    for (int i = 0; i < state.range(0); ++i)
    {
        callers.emplace_back("caller-" + std::to_string(i));
    }
    service_name const service{"stock-finder"};
    time_point now{1h};
    std::size_t next = 0;
    for (auto _ : state)
    {
        now += 1us;
        next = (next + 1) % callers.size();
        auto const refused =
            controller.enter(service, callers[next], 4, 1000, 1e6, now);
        if (!refused)
        {
            controller.leave(service, callers[next]);
        }
    }
}
BENCHMARK(bm_admission)->Arg(1)->Arg(100)->Arg(4000);

/// One quantile lookup, as for a hedge timer, and one recorded answer.
void bm_latency_window(benchmark::State& state)
{
    latency_window window{10s};
    std::mt19937_64 random(1);
    constexpr std::size_t samples = 4096;
    std::vector<duration> latencies;
    latencies.reserve(samples);
    for (std::size_t i = 0; i < samples; ++i)
    {
        latencies.push_back(duration(5000000 + random() % 5000000));
    }
    time_point now{1h};
    std::size_t next = 0;
    for (auto _ : state)
    {
        now += std::chrono::microseconds(state.range(0));
        next = (next + 1) % latencies.size();
        benchmark::DoNotOptimize(window.quantile(0.95, now));
        window.record(latencies[next], now);
    }
}
BENCHMARK(bm_latency_window)->Arg(100)->Arg(10000);

void bm_ratio_budget(benchmark::State& state)
{
    ratio_budget budget{0.05, 10};
    for (auto _ : state)
    {
        budget.earn();
        benchmark::DoNotOptimize(budget.spend());
    }
}
BENCHMARK(bm_ratio_budget);

} // namespace
