// Lengths of the windows, and names of the windows and alerts.
#include <burn/burn_alert.hpp>
#include <burn/burn_window.hpp>

namespace kumquatramp
{

namespace
{

struct window_row
{
    duration span;
    std::string_view name;
};

constexpr std::array<window_row, burn_window_count> window_rows{{
    {std::chrono::minutes(5), "5m"},
    {std::chrono::minutes(30), "30m"},
    {std::chrono::hours(1), "1h"},
    {std::chrono::hours(6), "6h"},
    {std::chrono::hours(24), "24h"},
}};

window_row const& row_of(burn_window window) noexcept
{
    return window_rows[static_cast<std::size_t>(window)];
}

} // namespace

duration span_of(burn_window window) noexcept
{
    return row_of(window).span;
}

std::string_view to_string(burn_window window) noexcept
{
    return row_of(window).name;
}

std::string_view to_string(burn_alert alert) noexcept
{
    switch (alert)
    {
    case burn_alert::none:
        return "none";
    case burn_alert::ticket:
        return "ticket";
    case burn_alert::page:
        return "page";
    }
    return "unknown";
}

} // namespace kumquatramp
