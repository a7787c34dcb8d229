// Recent deltas that lead to the current value.
#ifndef KUMQUATRAMP_CONFIG_DETAILS_DELTA_HISTORY_HPP
#define KUMQUATRAMP_CONFIG_DETAILS_DELTA_HISTORY_HPP

#include <config/config_stamp.hpp>
#include <config/line_delta.hpp>
#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

namespace kumquatramp::details
{

/// Stores the deltas between the most recent values, bounded in number and in
/// bytes. Not synchronized.
class delta_history
{
public:
    /// Adds the delta from the value with stamp `base` to the next value. The
    /// oldest deltas are evicted; a delta that exceeds the limit by itself
    /// clears the history.
    void add(config_stamp base, std::vector<line_edit> edits);

    /// Returns one delta from the value with stamp `base` to the newest value;
    /// nullopt if the history no longer reaches back to `base`.
    std::optional<std::vector<line_edit>> since(config_stamp base) const;

private:
    struct step
    {
        config_stamp base;
        std::vector<line_edit> edits;
        std::size_t bytes = 0;
    };

    // Each step leads to the base of the following step.
    std::deque<step> steps_;
    std::size_t bytes_ = 0; // total size over steps_
};

/// Approximate memory use of the edits, in bytes.
std::size_t size_in_bytes(std::vector<line_edit> const& edits);

} // namespace kumquatramp::details

#endif
