// Thread pool of fixed size with a bounded queue.
#include <transport/worker_pool.hpp>
#include <utility>

namespace kumquatramp
{

worker_pool::worker_pool(std::size_t threads, std::size_t max_queued)
    : max_queued_(max_queued)
{
    threads_.reserve(threads);
    for (std::size_t i = 0; i < threads; ++i)
    {
        threads_.emplace_back([this] { run(); });
    }
}

worker_pool::~worker_pool()
{
    stop();
}

bool worker_pool::try_post(std::function<void()> job)
{
    std::lock_guard const guard(mutex_);
    if (stopping_ || queue_.size() >= max_queued_ + idle_)
    {
        return false;
    }
    queue_.push_back(std::move(job));
    changed_.notify_one();
    return true;
}

void worker_pool::stop()
{
    {
        std::lock_guard const guard(mutex_);
        stopping_ = true;
    }
    changed_.notify_all();
    for (auto& thread : threads_)
    {
        if (thread.joinable())
        {
            thread.join();
        }
    }
}

void worker_pool::run()
{
    std::unique_lock lock(mutex_);
    for (;;)
    {
        ++idle_;
        changed_.wait(lock, [this] { return !queue_.empty() || stopping_; });
        --idle_;
        if (queue_.empty())
        {
            return;
        }
        auto const job = std::move(queue_.front());
        queue_.pop_front();
        lock.unlock();
        job();
        lock.lock();
    }
}

} // namespace kumquatramp
