// Calls to the platform's store.
#ifndef KUMQUATRAMP_REGISTRY_STORE_PORT_HPP
#define KUMQUATRAMP_REGISTRY_STORE_PORT_HPP

#include <base/time.hpp>
#include <cstdint>
#include <string>

namespace kumquatramp::registry
{

/// Starts one call at a time. Each ends with store_follower::on_answer or
/// on_failure, later, on the loop.
class store_port
{
public:
    store_port() = default;
    store_port(store_port const&) = delete;
    store_port& operator=(store_port const&) = delete;
    virtual ~store_port() = default;

    /// All items, a page at a time, after a key (empty: from the first).
    virtual void list(std::string const& after) = 0;

    /// Changes after a revision; waits for one for so long.
    virtual void watch(std::uint64_t revision, duration wait) = 0;

    /// Ends a call that is open, without an answer.
    virtual void cancel() = 0;
};

} // namespace kumquatramp::registry

#endif
