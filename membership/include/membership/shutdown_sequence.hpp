// Graceful shutdown that does not interrupt requests.
#ifndef KUMQUATRAMP_MEMBERSHIP_SHUTDOWN_SEQUENCE_HPP
#define KUMQUATRAMP_MEMBERSHIP_SHUTDOWN_SEQUENCE_HPP

#include <base/time.hpp>
#include <cstdint>
#include <membership/membership_options.hpp>
#include <mutex>
#include <string_view>

namespace kumquatramp
{

enum class shutdown_phase : std::uint8_t
{
    serving,  ///< normal service
    leaving,  ///< not in discovery answers; requests are still served
    refusing, ///< new requests are refused and reported as not run
    done,     ///< no requests in flight; the process may exit
};

std::string_view to_string(shutdown_phase phase) noexcept;

/// The leaving phase lasts for the lifetime of a discovery answer plus the time
/// until all peers know that this host is leaving, so that no caller with a
/// valid answer is refused. Thread-safe.
class shutdown_sequence
{
public:
    explicit shutdown_sequence(membership_options const& options);

    /// Starts the leaving phase. Further calls have no effect.
    void request(time_point now);

    /// Returns the phase, given the number of requests in flight.
    shutdown_phase phase(std::uint32_t in_flight, time_point now) const;

private:
    duration const leaving_time_;
    mutable std::mutex mutex_;
    time_point requested_ = never; // guarded by mutex_
};

} // namespace kumquatramp

#endif
