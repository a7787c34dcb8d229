// Runs the servers of a stand-in process until a signal or a time limit.
#include <csignal>
#include <cstdio>
#include <ctime>
#include <standins/http/run_until_signal.hpp>
#include <thread>
#include <vector>

namespace kumquatramp::standins
{

namespace
{

sigset_t stop_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

} // namespace

void block_stop_signals()
{
    auto const signals = stop_signals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

void wait_for_stop(std::chrono::seconds lifetime)
{
    auto const signals = stop_signals();
    timespec const limit{.tv_sec = lifetime.count(), .tv_nsec = 0};
    while (sigtimedwait(&signals, nullptr, &limit) < 0 && errno == EINTR)
    {
    }
}

int serve(std::span<bound_server const> servers, std::chrono::seconds lifetime)
{
    for (auto const& each : servers)
    {
        if (!each.server->bind_to_port("127.0.0.1", each.port))
        {
            std::fprintf(stderr, "port %d is in use\n", each.port);
            return 2;
        }
    }
    std::vector<std::thread> threads;
    threads.reserve(servers.size());
    for (auto const& each : servers)
    {
        threads.emplace_back([server = each.server]
                             { server->listen_after_bind(); });
    }
    wait_for_stop(lifetime);
    for (auto const& each : servers)
    {
        each.server->stop();
    }
    for (auto& thread : threads)
    {
        thread.join();
    }
    return 0;
}

} // namespace kumquatramp::standins
