// Cost of at-most-once execution on a host: the life cycle of one request in
// the ledger, encoding and decoding of its id, and the queue.
#include <benchmark/benchmark.h>
#include <malloc.h>
#include <requests/request_id_codec.hpp>
#include <requests/request_ledger.hpp>
#include <requests/request_queue.hpp>

namespace
{

using namespace kumquatramp;

constexpr time_point now{1h};

request_ledger make_ledger()
{
    return {host_name{"osu-1"}, incarnation{7}, {}};
}

// From issue to outcome, in a ledger that fills up to its capacity.
void ledger_cycle(benchmark::State& state)
{
    auto ledger = make_ledger();
    for (auto _ : state)
    {
        auto const id = ledger.issue(now).value();
        benchmark::DoNotOptimize(ledger.admit(id, now));
        benchmark::DoNotOptimize(ledger.begin_send(id, now));
        ledger.finish_ran(id, "booked", now);
    }
    state.counters["ids_kept"] = static_cast<double>(ledger.size());
}
BENCHMARK(ledger_cycle);

void bytes_an_id(benchmark::State& state)
{
    double bytes = 0;
    for (auto _ : state)
    {
        auto const before = mallinfo2().uordblks;
        auto ledger = make_ledger();
        for (std::int64_t i = 0; i < state.range(0); ++i)
        {
            benchmark::DoNotOptimize(ledger.issue(now));
        }
        auto const used = mallinfo2().uordblks - before;
        bytes = static_cast<double>(used) / static_cast<double>(state.range(0));
    }
    state.counters["bytes_an_id"] = bytes;
}
BENCHMARK(bytes_an_id)->Arg(1000)->Arg(10'000)->Arg(50'000)->Iterations(1);

void encode_and_decode(benchmark::State& state)
{
    request_id_codec const codec(signer("a key of the usual length"));
    request_id const id{host_name{"osu-1"}, incarnation{0xf00dULL}, 123456};
    for (auto _ : state)
    {
        benchmark::DoNotOptimize(codec.decode(codec.encode(id)));
    }
}
BENCHMARK(encode_and_decode);

// A push and a pop with range(0) requests waiting, spread over 10 callers.
void queue_turn(benchmark::State& state)
{
    constexpr std::uint64_t caller_count = 10;
    std::vector<caller_name> callers;
    for (std::uint64_t i = 0; i < caller_count; ++i)
    {
        callers.emplace_back("caller-" + std::to_string(i));
    }
    request_queue queue(1'000'000);
    std::uint64_t number = 0;
    auto const push = [&]
    {
        ++number;
        queue.push(query_number{number}, callers[number % caller_count],
                   now + std::chrono::milliseconds(number));
    };
    for (std::int64_t i = 0; i < state.range(0); ++i)
    {
        push();
    }
    for (auto _ : state)
    {
        push();
        benchmark::DoNotOptimize(queue.pop());
    }
}
BENCHMARK(queue_turn)->Arg(10)->Arg(500)->Arg(10'000);

} // namespace

BENCHMARK_MAIN();
