// Thread pool of fixed size with a bounded queue.
#ifndef KUMQUATRAMP_TRANSPORT_WORKER_POOL_HPP
#define KUMQUATRAMP_TRANSPORT_WORKER_POOL_HPP

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace kumquatramp
{

/// Thread-safe.
class worker_pool
{
public:
    worker_pool(std::size_t threads, std::size_t max_queued);
    ~worker_pool();
    worker_pool(worker_pool const&) = delete;
    worker_pool& operator=(worker_pool const&) = delete;

    /// Queues a job; false if the pool is stopping or the queue is full. The
    /// queue holds max_queued jobs plus one for each idle thread.
    bool try_post(std::function<void()> job);

    /// Runs all queued jobs and joins the threads.
    void stop();

private:
    void run();

    std::size_t const max_queued_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<std::function<void()>> queue_; // guarded by mutex_
    std::size_t idle_ = 0;                    // guarded by mutex_
    bool stopping_ = false;                   // guarded by mutex_
    std::vector<std::thread> threads_;
};

} // namespace kumquatramp

#endif
