// Runs each connection of a stand-in's HTTP server on its own thread.
#ifndef KUMQUATRAMP_STANDINS_HTTP_CONNECTION_THREADS_HPP
#define KUMQUATRAMP_STANDINS_HTTP_CONNECTION_THREADS_HPP

#include <condition_variable>
#include <httplib.h>
#include <mutex>

namespace kumquatramp::standins
{

/// Task queue that starts a thread per job. A job of httplib is one connection,
/// so a waiting connection never blocks others.
class connection_threads final : public httplib::TaskQueue
{
public:
    void enqueue(std::function<void()> job) override;

    /// Blocks until all connections have ended.
    void shutdown() override;

private:
    std::mutex mutex_;
    std::condition_variable ended_;
    int running_ = 0; // guarded by mutex_
};

/// Applies the settings common to all stand-in servers: a thread per
/// connection, persistent connections, TCP_NODELAY and a body size limit.
void configure(httplib::Server& server);

} // namespace kumquatramp::standins

#endif
