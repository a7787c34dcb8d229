// Splits a text into lines for deltas. Joining the lines with newlines
// reproduces the text byte for byte.
#ifndef KUMQUATRAMP_CONFIG_DETAILS_TEXT_LINES_HPP
#define KUMQUATRAMP_CONFIG_DETAILS_TEXT_LINES_HPP

#include <string_view>
#include <vector>

namespace kumquatramp::details
{

/// Splits at each newline. Returns at least one line; the views point into the
/// text.
std::vector<std::string_view> split_lines(std::string_view text);

} // namespace kumquatramp::details

#endif
