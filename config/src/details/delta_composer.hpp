// Composes successive deltas into a single delta.
#ifndef KUMQUATRAMP_CONFIG_DETAILS_DELTA_COMPOSER_HPP
#define KUMQUATRAMP_CONFIG_DETAILS_DELTA_COMPOSER_HPP

#include <config/line_delta.hpp>
#include <cstddef>
#include <string>
#include <vector>

namespace kumquatramp::details
{

/// Starts as the empty delta; each append() adds the delta to the next text.
/// Takes time linear in the edits, independent of the size of the texts.
class delta_composer
{
public:
    delta_composer();

    /// Appends edits relative to the text that the earlier deltas produce.
    void append(std::vector<line_edit> const& edits);

    /// Returns the delta from the first text to the last.
    std::vector<line_edit> compose() const;

private:
    // Consecutive lines of the composed text, taken from the first text or
    // added.
    struct segment
    {
        // Line in the first text; unused if `added` is set.
        std::size_t first = 0;
        std::size_t count = 0;
        std::vector<std::string> added; // empty, or `count` lines
    };

    // Splits `count` lines off the front of a segment.
    static segment take_front(segment& from, std::size_t count);

    // Invariant: the last segment is the rest of the first text, with an
    // unbounded count, as the length of that text is not known. Segments of the
    // first text are in increasing order and do not overlap.
    std::vector<segment> segments_;
};

} // namespace kumquatramp::details

#endif
