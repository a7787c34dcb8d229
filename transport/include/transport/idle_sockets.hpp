// Waits for the next request on idle keep-alive connections without a thread
// per connection.
#ifndef KUMQUATRAMP_TRANSPORT_IDLE_SOCKETS_HPP
#define KUMQUATRAMP_TRANSPORT_IDLE_SOCKETS_HPP

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <base/time.hpp>
#include <functional>
#include <memory>
#include <set>
#include <thread>

namespace kumquatramp
{

/// Watches sockets on one thread. Methods are thread-safe.
class idle_sockets
{
public:
    /// Called on the watching thread when a socket is readable (`ready`), or
    /// when its idle timeout has expired or stop() was called (not `ready`).
    /// The handler takes ownership of the socket.
    using handler = std::function<void(int socket, bool ready)>;

    explicit idle_sockets(handler on_watch_end);
    ~idle_sockets();
    idle_sockets(idle_sockets const&) = delete;
    idle_sockets& operator=(idle_sockets const&) = delete;

    /// Takes ownership of a socket until it is readable, for at most
    /// `max_idle`.
    void watch(int socket, duration max_idle);

    /// Passes every socket still watched to the handler as not ready, and
    /// joins the thread.
    void stop();

private:
    struct entry;
    void end_watch(std::shared_ptr<entry> const& watched, bool ready);

    handler const on_watch_end_;
    asio::io_context io_;
    asio::executor_work_guard<asio::io_context::executor_type> work_;
    std::set<std::shared_ptr<entry>> entries_; // used by the thread only
    bool stopping_ = false;                    // used by the thread only
    std::thread thread_;
};

} // namespace kumquatramp

#endif
