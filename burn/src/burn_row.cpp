// Computes burn rates, alerts and remaining budgets from counts.
#include <algorithm>
#include <burn/burn_row.hpp>
#include <map>

namespace kumquatramp
{

namespace
{

constexpr double page_rate = 14.4;
constexpr double ticket_rate = 6.0;

// Avoids a division by zero for an objective of 1.
constexpr double min_allowed_share = 1e-9;

bool exceeds_both(burn_row const& row, burn_window short_window,
                  burn_window long_window, double rate)
{
    return burn_rate(row, short_window) > rate &&
           burn_rate(row, long_window) > rate;
}

void add_row(burn_row& sum, burn_row const& row)
{
    sum.hosts += row.hosts;
    if (row.objective > sum.objective)
    {
        sum.objective = row.objective;
        sum.within = row.within;
    }
    for (std::size_t i = 0; i < burn_window_count; ++i)
    {
        sum.windows[i] += row.windows[i];
    }
    sum.history.resize(std::max(sum.history.size(), row.history.size()));
    // Histories end at the present, so that they are aligned at their newest
    // slices.
    std::transform(row.history.rbegin(), row.history.rend(),
                   sum.history.rbegin(), sum.history.rbegin(),
                   [](burn_counts add, burn_counts const& to)
                   { return add += to; });
}

} // namespace

double burn_rate(burn_row const& row, burn_window window) noexcept
{
    auto const allowed = std::max(1.0 - row.objective, min_allowed_share);
    return row.counts(window).bad_share() / allowed;
}

burn_alert alert_of(burn_row const& row) noexcept
{
    if (exceeds_both(row, burn_window::minutes_5, burn_window::hour_1,
                     page_rate))
    {
        return burn_alert::page;
    }
    if (exceeds_both(row, burn_window::minutes_30, burn_window::hours_6,
                     ticket_rate))
    {
        return burn_alert::ticket;
    }
    return burn_alert::none;
}

double budget_left(burn_row const& row) noexcept
{
    return 1.0 - burn_rate(row, burn_window::day);
}

std::vector<burn_row>
add_burn_rows(std::span<std::vector<burn_row> const> hosts)
{
    std::map<service_name, burn_row> sums;
    for (auto const& rows : hosts)
    {
        for (auto const& row : rows)
        {
            auto const [sum, added] = sums.try_emplace(row.service, row);
            if (!added)
            {
                add_row(sum->second, row);
            }
        }
    }
    std::vector<burn_row> result;
    result.reserve(sums.size());
    for (auto& [service, sum] : sums)
    {
        result.push_back(std::move(sum));
    }
    return result;
}

} // namespace kumquatramp
