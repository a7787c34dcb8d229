// Concurrent admit, send and cancel of the same request ids.
#include <atomic>
#include <barrier>
#include <catch2/catch.hpp>
#include <requests/request_ledger.hpp>
#include <thread>

using namespace kumquatramp;

TEST_CASE("exactly one of several threads that contend for an id succeeds")
{
    constexpr int id_count = 3000;
    constexpr int thread_count = 4;
    request_ledger ledger(host_name{"osu-1"}, incarnation{7}, {});
    time_point const now{1h};
    std::vector<request_id> ids;
    ids.reserve(id_count);
    for (int i = 0; i < id_count; ++i)
    {
        ids.push_back(ledger.issue(now).value());
    }
    std::atomic<int> admitted{0};
    std::atomic<int> won{0};
    std::barrier id_barrier(thread_count);
    auto const contend = [&](int thread)
    {
        for (auto const& id : ids)
        {
            id_barrier.arrive_and_wait();
            admitted += ledger.admit(id, now) ? 1 : 0;
            // The last thread cancels; the others send.
            bool const last = thread == thread_count - 1;
            bool const succeeded =
                last ? ledger.cancel(id, now) : ledger.begin_send(id, now);
            won += succeeded ? 1 : 0;
        }
    };
    std::vector<std::thread> threads;
    threads.reserve(thread_count);
    for (int i = 0; i < thread_count; ++i)
    {
        threads.emplace_back(contend, i);
    }
    for (auto& thread : threads)
    {
        thread.join();
    }
    CHECK(admitted <= id_count);
    CHECK(won == id_count);
}
