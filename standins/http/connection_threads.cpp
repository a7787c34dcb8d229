// Runs each connection of a stand-in's HTTP server on its own thread.
#include <standins/http/connection_threads.hpp>
#include <thread>

namespace kumquatramp::standins
{

namespace
{

constexpr std::size_t requests_per_connection = 1'000'000;
constexpr time_t idle_seconds = 300;
constexpr std::size_t max_body_bytes = 2'000'000;

} // namespace

void connection_threads::enqueue(std::function<void()> job)
{
    {
        std::lock_guard const guard(mutex_);
        ++running_;
    }
    std::thread(
        [this, job = std::move(job)]
        {
            job();
            std::lock_guard const guard(mutex_);
            --running_;
            ended_.notify_all();
        })
        .detach();
}

void connection_threads::shutdown()
{
    std::unique_lock lock(mutex_);
    ended_.wait(lock, [this] { return running_ == 0; });
}

void configure(httplib::Server& server)
{
    server.new_task_queue = [] { return new connection_threads; };
    server.set_keep_alive_max_count(requests_per_connection);
    server.set_keep_alive_timeout(idle_seconds);
    server.set_tcp_nodelay(true);
    server.set_payload_max_length(max_body_bytes);
}

} // namespace kumquatramp::standins
