// Decides which callers' requests a host takes in.
#ifndef KUMQUATRAMP_LIMITS_ADMISSION_HPP
#define KUMQUATRAMP_LIMITS_ADMISSION_HPP

#include <base/error_kind.hpp>
#include <base/ids.hpp>
#include <base/time.hpp>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>

namespace kumquatramp
{

/// Rates per caller and service, and shedding by priority: as the host
/// fills, the least important requests are refused first. Safe from any
/// thread.
class admission_controller
{
public:
    /// `max_in_flight` bounds the requests of all services together.
    explicit admission_controller(std::uint32_t max_in_flight);
    ~admission_controller();

    /// Takes a request in, or says why not (rate_limited, overloaded). Each
    /// one that was taken in must be given back by leave(). `rate` is the
    /// caller's limit in requests a second, if it has one.
    std::optional<error_kind> enter(service_name const& service,
                                    caller_name const& caller,
                                    std::uint8_t priority,
                                    std::uint32_t service_limit,
                                    std::optional<double> rate, time_point now);

    void leave(service_name const& service, caller_name const& caller);

    std::uint32_t in_flight() const;

private:
    struct state;
    std::uint32_t const max_in_flight_;
    mutable std::mutex mutex_;
    std::unique_ptr<state> state_; // guarded by mutex_
};

} // namespace kumquatramp

#endif
