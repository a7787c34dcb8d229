// One row of the burn report, and the figures derived from it.
#ifndef KUMQUATRAMP_BURN_BURN_ROW_HPP
#define KUMQUATRAMP_BURN_BURN_ROW_HPP

#include <array>
#include <base/ids.hpp>
#include <base/time.hpp>
#include <burn/burn_alert.hpp>
#include <burn/burn_counts.hpp>
#include <burn/burn_window.hpp>
#include <span>
#include <vector>

namespace kumquatramp
{

/// Objective and counts of one service, on one host or summed over several.
/// Burn rates, alert and remaining budget are computed from them.
struct burn_row
{
    service_name service;
    double objective = 0.99; ///< share of events that must be good
    duration within = 1s;    ///< time limit for a complete answer
    std::uint32_t hosts = 1; ///< number of hosts summed up here

    /// Counts of each window, in the order of all_burn_windows.
    std::array<burn_counts, burn_window_count> windows{};

    /// Counts of the last burn_history_length slices of burn_history_slice,
    /// oldest first.
    std::vector<burn_counts> history;

    burn_counts const& counts(burn_window window) const noexcept
    {
        return windows[static_cast<std::size_t>(window)];
    }

    friend bool operator==(burn_row const&, burn_row const&) = default;
};

inline constexpr duration burn_history_slice = std::chrono::minutes(5);
inline constexpr std::size_t burn_history_length = 72;

/// Share of bad events as a multiple of the share that the objective allows. A
/// rate of 1 spends the error budget in exactly the budget's window.
double burn_rate(burn_row const& row, burn_window window) noexcept;

/// Multi-window, multi-burn-rate alert: page if both the 5 min and the 1 h
/// rates exceed 14.4; ticket if both the 30 min and the 6 h rates exceed 6.
/// The short window makes the alert end soon after the rate drops. Windows
/// and factors are those of "The Site Reliability Workbook" (Beyer et al.,
/// O'Reilly 2018), chapter 5, "Alerting on SLOs".
burn_alert alert_of(burn_row const& row) noexcept;

/// Share of the error budget that is left in the budget's window: 1 without a
/// bad event, negative if the budget is overspent.
double budget_left(burn_row const& row) noexcept;

/// Sums the rows of several hosts into one row per service, sorted by name. If
/// the objectives of the hosts differ, the strictest one is used.
std::vector<burn_row>
add_burn_rows(std::span<std::vector<burn_row> const> hosts);

} // namespace kumquatramp

#endif
