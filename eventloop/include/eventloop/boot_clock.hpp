// Monotonic clock that includes the time the machine spends suspended.
#ifndef KUMQUATRAMP_EVENTLOOP_BOOT_CLOCK_HPP
#define KUMQUATRAMP_EVENTLOOP_BOOT_CLOCK_HPP

#include <base/clock.hpp>

namespace kumquatramp::eventloop
{

/// Reads CLOCK_BOOTTIME, so that leases and data ages keep expiring while the
/// machine is suspended.
class boot_clock final : public clock
{
public:
    time_point now() const noexcept override;

    /// Total time this machine has spent suspended since it booted.
    static duration suspended() noexcept;
};

} // namespace kumquatramp::eventloop

#endif
