// Whether this host serves clients, is withdrawing, or is on standby.
#ifndef KUMQUATRAMP_FLEET_SERVING_ROLE_HPP
#define KUMQUATRAMP_FLEET_SERVING_ROLE_HPP

#include <base/time.hpp>
#include <cstdint>

namespace kumquatramp::fleet
{

/// Decides from this host's view of the serving set and from the requests that
/// it receives. Other hosts and clients may hold another view for seconds, so a
/// host that has left the set first reports that it is not ready and goes on
/// serving; it stops only when clients have stopped coming.
///
///     serving_role role;
///     if (role.update(view.serves(), requests_received, now) ==
///         serving_role::phase::standby) { ... }
class serving_role
{
public:
    enum class phase
    {
        standby,     ///< does not serve and need not follow the registry
        serving,     ///< ready for clients
        withdrawing, ///< not ready, but serves the clients that still come
    };

    /// To be called about ten times per second. `requests` is the number of
    /// requests received since the start of the process.
    phase update(bool in_serving_set, std::uint64_t requests, time_point now);

    phase current() const { return current_; }

private:
    phase current_ = phase::standby;
    time_point last_in_set_{};
    time_point last_request_{}; ///< at the accuracy of the calls of update
    std::uint64_t requests_ = 0;
};

} // namespace kumquatramp::fleet

#endif
