// The clock of a host: monotonic, and it counts time spent suspended.
#ifndef KUMQUATRAMP_EVENTLOOP_BOOT_CLOCK_HPP
#define KUMQUATRAMP_EVENTLOOP_BOOT_CLOCK_HPP

#include <base/clock.hpp>

namespace kumquatramp::eventloop
{

/// CLOCK_BOOTTIME. A suspended machine's rights and ages go on expiring.
class boot_clock final : public clock
{
public:
    time_point now() const noexcept override;

    /// Time that this machine has spent suspended since it was started.
    static duration suspended() noexcept;
};

} // namespace kumquatramp::eventloop

#endif
