// Plot of a service's burn rate over time, as inline SVG.
#ifndef KUMQUATRAMP_BURN_DETAILS_BURN_PLOT_HPP
#define KUMQUATRAMP_BURN_DETAILS_BURN_PLOT_HPP

#include <burn/burn_row.hpp>
#include <string>

namespace kumquatramp
{

/// Renders one bar per history slice, and lines at the burn rates above which
/// an alert is raised.
std::string render_burn_plot(burn_row const& row);

} // namespace kumquatramp

#endif
