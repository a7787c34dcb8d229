// Iterates over the entry lines of a platform value.
#ifndef KUMQUATRAMP_CONFIG_DETAILS_ENTRY_LINES_HPP
#define KUMQUATRAMP_CONFIG_DETAILS_ENTRY_LINES_HPP

#include <functional>
#include <rules/details/fault_list.hpp>
#include <rules/details/line_reader.hpp>
#include <string_view>

namespace kumquatramp::details
{

/// Calls read_entry for each line that has words, until the list of faults is
/// full. Adds a fault for an oversized text, and for each line that is too long
/// or contains control characters.
void for_each_entry(std::string_view text, fault_list& faults,
                    std::function<void(config_line const&)> const& read_entry);

} // namespace kumquatramp::details

#endif
