// Thread that reads the value of one key from the platform.
#ifndef KUMQUATRAMP_TRANSPORT_DETAILS_PLATFORM_READ_THREAD_HPP
#define KUMQUATRAMP_TRANSPORT_DETAILS_PLATFORM_READ_THREAD_HPP

#include <base/clock.hpp>
#include <condition_variable>
#include <httplib.h>
#include <mutex>
#include <node/actions.hpp>
#include <optional>
#include <thread>
#include <transport/socket_address.hpp>

namespace kumquatramp
{

class platform_events;

class platform_read_thread
{
public:
    platform_read_thread(socket_address const& platform,
                         platform_events& events, clock const& time);
    ~platform_read_thread();

    /// Queues a read; replaces a queued read that has not started.
    void read(read_platform const& request);

    void stop();

private:
    void run();
    void perform_read(read_platform const& request);
    void report(read_platform const& request, httplib::Response const& response,
                time_point asked);

    platform_events& events_;
    clock const& time_;
    httplib::Client client_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::optional<read_platform> pending_read_; // guarded by mutex_
    bool stopping_ = false;                     // guarded by mutex_
    std::thread thread_;
};

} // namespace kumquatramp

#endif
