// Cost of configuration updates on a host, at three catalogue sizes: a complete
// value, a delta of one line, and an update for a host that is out of date.
#include <base/rendezvous.hpp>
#include <benchmark/benchmark.h>
#include <config/config_store.hpp>
#include <config/platform_validator.hpp>

namespace
{

using namespace kumquatramp;

constexpr auto key = config_key::catalogue;

std::string make_catalogue(std::int64_t targets)
{
    constexpr std::int64_t replicas = 3;
    auto const shards = (targets + replicas - 1) / replicas;
    std::string text = "service stock-finder run idempotent shards " +
                       std::to_string(shards) + " map 1\n";
    for (std::int64_t i = 0; i < targets; ++i)
    {
        text += "target sf-" + std::to_string(i) +
                " service stock-finder availability_zone osu address "
                "127.0.0.1:" +
                std::to_string(9100 + i) +
                " slots 4 connections 80 connect_cost 6ms state live holds 1/" +
                std::to_string(i / replicas) + "\n";
    }
    return text;
}

// The same catalogue with one target in state leaving.
std::string with_one_change(std::string text, std::int64_t targets)
{
    auto const name = "sf-" + std::to_string(targets / 2) + " ";
    auto const at = text.find("state live", text.find(name));
    return text.replace(at, 10, "state leaving");
}

void sizes(benchmark::internal::Benchmark* bench)
{
    bench->Arg(30)->Arg(1000)->Arg(5200)->Unit(benchmark::kMicrosecond);
}

void offer_whole(benchmark::State& state)
{
    auto const text = make_catalogue(state.range(0));
    auto const next = with_one_change(text, state.range(0));
    platform_validator const validator;
    for (auto _ : state)
    {
        state.PauseTiming();
        config_store store(validator);
        store.offer(key, config_version{1}, text);
        state.ResumeTiming();
        benchmark::DoNotOptimize(store.offer(key, config_version{2}, next));
    }
    state.counters["text_bytes"] = static_cast<double>(text.size());
}
BENCHMARK(offer_whole)->Apply(sizes);

void offer_held(benchmark::State& state)
{
    auto const text = make_catalogue(state.range(0));
    platform_validator const validator;
    config_store store(validator);
    store.offer(key, config_version{1}, text);
    for (auto _ : state)
    {
        benchmark::DoNotOptimize(store.offer(key, config_version{1}, text));
    }
}
BENCHMARK(offer_held)->Apply(sizes);

std::size_t bytes_of(config_update const& update)
{
    auto bytes = update.text.size();
    for (auto const& edit : update.edits)
    {
        bytes += sizeof edit.first + sizeof edit.removed;
        for (auto const& line : edit.added)
        {
            bytes += line.size();
        }
    }
    return bytes;
}

void offer_delta(benchmark::State& state)
{
    auto const text = make_catalogue(state.range(0));
    platform_validator const validator;
    config_store ahead(validator);
    ahead.offer(key, config_version{1}, text);
    auto const from = ahead.stamp(key);
    ahead.offer(key, config_version{2}, with_one_change(text, state.range(0)));
    auto const update = ahead.update_since(key, from);
    for (auto _ : state)
    {
        state.PauseTiming();
        config_store store(validator);
        store.offer(key, config_version{1}, text);
        state.ResumeTiming();
        benchmark::DoNotOptimize(store.offer(update));
    }
    state.counters["update_bytes"] = static_cast<double>(bytes_of(update));
}
BENCHMARK(offer_delta)->Apply(sizes);

// The requesting host is 60 versions behind, each of which adds one line.
void update_since(benchmark::State& state)
{
    auto text = make_catalogue(state.range(0));
    platform_validator const validator;
    config_store store(validator);
    store.offer(key, config_version{1}, text);
    auto const from = store.stamp(key);
    for (std::uint64_t version = 2; version <= 61; ++version)
    {
        text += "# change " + std::to_string(version) + "\n";
        store.offer(key, config_version{version}, text);
    }
    for (auto _ : state)
    {
        benchmark::DoNotOptimize(store.update_since(key, from));
    }
    state.counters["update_bytes"] =
        static_cast<double>(bytes_of(store.update_since(key, from)));
}
BENCHMARK(update_since)->Apply(sizes);

} // namespace

BENCHMARK_MAIN();
