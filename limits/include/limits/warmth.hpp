// Warm or cold state of a target, as exchanged between hosts.
#ifndef KUMQUATRAMP_LIMITS_WARMTH_HPP
#define KUMQUATRAMP_LIMITS_WARMTH_HPP

#include <compare>
#include <cstdint>

namespace kumquatramp
{

/// A target is cold from its start until it has served enough requests to
/// sustain its full load. Each observed restart raises the epoch; within an
/// epoch, a target goes from cold to warm. The higher value wins on every host,
/// so notices may arrive in any order. Epoch 0 means that nothing has been
/// received yet; the target counts as cold.
struct warmth
{
    std::uint32_t epoch = 0;
    bool warm = false;

    // NOLINTNEXTLINE(modernize-use-nullptr): compiled comparisons, no pointer.
    friend auto operator<=>(warmth const&, warmth const&) = default;
};

} // namespace kumquatramp

#endif
