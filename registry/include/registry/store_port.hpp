// Interface for calls to the platform's store.
#ifndef KUMQUATRAMP_REGISTRY_STORE_PORT_HPP
#define KUMQUATRAMP_REGISTRY_STORE_PORT_HPP

#include <base/time.hpp>
#include <cstdint>
#include <string>

namespace kumquatramp::registry
{

/// One call is in progress at a time. Each ends with store_follower::on_answer
/// or on_failure, called later from the event loop, unless it is cancelled.
class store_port
{
public:
    /// A call that gets no answer fails this long after its wait at the latest.
    static constexpr duration response_margin = 1s;

    store_port() = default;
    store_port(store_port const&) = delete;
    store_port& operator=(store_port const&) = delete;
    virtual ~store_port() = default;

    /// Requests a page of items after a key (empty: from the first).
    virtual void list(std::string const& after) = 0;

    /// Requests the changes after a revision; the store waits up to `wait` for
    /// one.
    virtual void watch(std::uint64_t revision, duration wait) = 0;

    /// Cancels the call in progress; it ends without an answer.
    virtual void cancel() = 0;
};

} // namespace kumquatramp::registry

#endif
