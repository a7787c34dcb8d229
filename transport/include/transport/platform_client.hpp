// Client that reads configuration values from the platform.
#ifndef KUMQUATRAMP_TRANSPORT_PLATFORM_CLIENT_HPP
#define KUMQUATRAMP_TRANSPORT_PLATFORM_CLIENT_HPP

#include <base/clock.hpp>
#include <memory>
#include <node/actions.hpp>
#include <transport/socket_address.hpp>
#include <vector>

namespace kumquatramp
{

class platform_events;
class platform_read_thread;

/// Uses one thread and one persistent connection per key; reads of the same key
/// are sequential. Thread-safe.
class platform_client
{
public:
    /// All references must outlive the client.
    platform_client(socket_address const& platform, platform_events& events,
                    clock const& time);
    ~platform_client();

    /// Starts a read; its result is reported through the events.
    void read(read_platform const& wanted);

    /// Aborts reads in progress and joins the reader threads.
    void stop();

private:
    // One per key, in the order of all_config_keys; indexed by config_key.
    std::vector<std::unique_ptr<platform_read_thread>> readers_;
};

} // namespace kumquatramp

#endif
