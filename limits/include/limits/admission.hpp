// Admission control for the requests of callers on one host.
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

/// Enforces a rate limit per caller and service, and sheds load by priority: as
/// the host fills up, the lowest priorities are refused first. Thread-safe.
class admission_controller
{
public:
    /// `max_in_flight` limits the requests of all services together.
    explicit admission_controller(std::uint32_t max_in_flight);
    ~admission_controller();

    /// Admits a request, or returns why it was refused (rate_limited,
    /// overloaded). Every admitted request must be released with leave().
    /// Priority 0 is the highest. `rate` is the rate limit of the caller in
    /// requests per second, if it has one.
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
