// Time windows over which burn rates are computed.
#ifndef KUMQUATRAMP_BURN_BURN_WINDOW_HPP
#define KUMQUATRAMP_BURN_BURN_WINDOW_HPP

#include <array>
#include <base/time.hpp>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace kumquatramp
{

/// Each window ends at the present. The longest one is the window of the error
/// budget: it is one day instead of the usual four weeks, because hosts lose
/// their counts on a restart.
enum class burn_window : std::uint8_t
{
    minutes_5,
    minutes_30,
    hour_1,
    hours_6,
    day,
};

inline constexpr std::size_t burn_window_count = 5;

inline constexpr std::array<burn_window, burn_window_count> all_burn_windows{
    burn_window::minutes_5, burn_window::minutes_30, burn_window::hour_1,
    burn_window::hours_6, burn_window::day};

/// Length of the window.
duration span_of(burn_window window) noexcept;

/// Short name, e.g. "5m".
std::string_view to_string(burn_window window) noexcept;

} // namespace kumquatramp

#endif
