// Formats the status of the hosts as tables.
#ifndef KUMQUATRAMP_TOOLS_KUMQUATRAMPCTL_VIEWS_HPP
#define KUMQUATRAMP_TOOLS_KUMQUATRAMPCTL_VIEWS_HPP

#include "host_query.hpp"
#include <string>
#include <string_view>
#include <vector>

namespace kumquatramp
{

/// Formats the table `status`, `hosts`, `targets`, `drains` or `config`. A host
/// that did not answer has a row with "NO ANSWER". Returns an empty string for
/// any other view.
std::string view_text(std::string_view view,
                      std::vector<host_report> const& reports);

} // namespace kumquatramp

#endif
