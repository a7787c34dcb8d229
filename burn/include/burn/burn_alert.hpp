// Urgency of an alert on the burn rate of an error budget.
#ifndef KUMQUATRAMP_BURN_BURN_ALERT_HPP
#define KUMQUATRAMP_BURN_BURN_ALERT_HPP

#include <cstdint>
#include <string_view>

namespace kumquatramp
{

/// In order of increasing urgency.
enum class burn_alert : std::uint8_t
{
    none,
    ticket, ///< to be handled in working hours
    page,   ///< to be handled immediately
};

std::string_view to_string(burn_alert alert) noexcept;

} // namespace kumquatramp

#endif
