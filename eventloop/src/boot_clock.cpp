// Implements boot_clock with clock_gettime.
#include <ctime>
#include <eventloop/boot_clock.hpp>

namespace kumquatramp::eventloop
{

namespace
{

duration read(clockid_t id) noexcept
{
    timespec t{};
    clock_gettime(id, &t);
    return std::chrono::seconds(t.tv_sec) + std::chrono::nanoseconds(t.tv_nsec);
}

} // namespace

time_point boot_clock::now() const noexcept
{
    return time_point(read(CLOCK_BOOTTIME));
}

duration boot_clock::suspended() noexcept
{
    duration const monotonic_time = read(CLOCK_MONOTONIC);
    return read(CLOCK_BOOTTIME) - monotonic_time;
}

} // namespace kumquatramp::eventloop
