// Line-based deltas between two texts, sent to hosts that are out of date.
#ifndef KUMQUATRAMP_CONFIG_LINE_DELTA_HPP
#define KUMQUATRAMP_CONFIG_LINE_DELTA_HPP

#include <base/result.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace kumquatramp
{

/// Replaces `removed` lines of the old text, starting at line `first` (counted
/// from 0), with `added`.
struct line_edit
{
    std::uint32_t first = 0;
    std::uint32_t removed = 0;
    std::vector<std::string> added;

    friend bool operator==(line_edit const&, line_edit const&) = default;
};

/// Returns the edits that turn old_text into new_text, in increasing order of
/// `first`. Takes linear time over the texts plus n log n over the changed
/// part.
std::vector<line_edit> make_line_delta(std::string_view old_text,
                                       std::string_view new_text);

/// Applies edits and returns the new text. Fails with invalid_configuration if
/// the edits are out of order or out of range, or if an added line contains a
/// newline.
result<std::string> apply_line_delta(std::string_view old_text,
                                     std::vector<line_edit> const& edits);

} // namespace kumquatramp

#endif
