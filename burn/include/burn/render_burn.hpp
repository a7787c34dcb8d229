// Renders the burn report as JSON and HTML, and parses the JSON form.
#ifndef KUMQUATRAMP_BURN_RENDER_BURN_HPP
#define KUMQUATRAMP_BURN_RENDER_BURN_HPP

#include <base/result.hpp>
#include <burn/burn_row.hpp>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace kumquatramp
{

/// Renders the counts, and the burn rates, alerts and remaining budgets that
/// are computed from them, as JSON.
std::string render_burn_json(std::span<burn_row const> rows);

/// Parses the output of render_burn_json(), so that the reports of several
/// hosts can be summed. Fails with malformed_request on any other text.
result<std::vector<burn_row>> parse_burn_json(std::string_view text);

/// Renders a self-contained HTML page: a table, and for each service a plot of
/// its burn rate over the history.
std::string render_burn_html(std::span<burn_row const> rows,
                             std::string_view title);

} // namespace kumquatramp

#endif
