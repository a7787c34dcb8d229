// Finds the lines that an old and a new text have in common.
#ifndef KUMQUATRAMP_CONFIG_DETAILS_LINE_MATCHER_HPP
#define KUMQUATRAMP_CONFIG_DETAILS_LINE_MATCHER_HPP

#include <cstddef>
#include <span>
#include <string_view>
#include <vector>

namespace kumquatramp::details
{

/// A line that occurs in both texts.
struct line_match
{
    std::size_t old_line = 0;
    std::size_t new_line = 0;
};

/// Returns the longest sequence of matches, increasing in both texts, among the
/// lines that occur exactly once in each (as in patience diff). Takes
/// O(n log n) time in the number of lines.
std::vector<line_match>
match_unique_lines(std::span<std::string_view const> old_lines,
                   std::span<std::string_view const> new_lines);

} // namespace kumquatramp::details

#endif
