// Whether a target is warm, and the ramp that warms it.
#ifndef KUMQUATRAMP_LIMITS_COLD_START_HPP
#define KUMQUATRAMP_LIMITS_COLD_START_HPP

#include <base/time.hpp>
#include <cstdint>
#include <limits/warmth.hpp>

namespace kumquatramp
{

/// The ramp starts at one place; a number of answers in a row doubles the
/// places; a refusal, timeout or loss brings it back to one, with a pause
/// that grows while nothing is answered. At the target's slots it is warm.
/// Not safe from several threads.
///
/// A host that has lost a connection cannot tell whether a notice of warmth
/// was sent before or after that loss. For `notice_time` it therefore takes
/// no such notice; by then stale ones are delivered, so one that comes later
/// is from a host that has not seen the loss make the target cold. Peers must
/// repeat their notices for longer than notice_time.
class cold_start
{
public:
    /// At least the time in which a notice reaches all hosts.
    static constexpr duration notice_propagation_time = 3s;

    bool warm() const { return warmth_.warm; }
    warmth seen() const { return warmth_; }

    /// Sends that the steward may have in flight while the target is cold.
    std::uint32_t ramp_limit() const { return ramp_limit_; }

    /// Whether new sends must wait after a refusal, timeout or loss.
    bool backing_off(time_point now) const { return now < backoff_until_; }

    /// A whole answer to a send of `sent`, for a target of `slots`. While
    /// answers are `slow` against what they were when the target was warm,
    /// they do not count for the ramp.
    void on_answer(std::uint32_t slots, bool slow, time_point sent,
                   time_point now);

    /// A cold target refused, failed to answer in time, or can't be reached.
    void on_failure(time_point now);

    /// A send was given up that the target may still be busy with.
    void on_cancelled(time_point now);

    /// A connection that stood has broken.
    void on_disconnect(time_point now);

    /// The target could not be reached. Unless it has answered this host in
    /// the present epoch this need not be the target's doing: it then only
    /// makes this host pause.
    void on_unreachable(time_point now);

    /// A warm target does not bear even the least load any more.
    void mark_cold(time_point now);

    /// Takes a peer's word.
    void observe(warmth seen, time_point now);

    /// Starts again from one place.
    void restart_ramp(time_point now);

private:
    void set_warmth(warmth next, time_point now);
    void begin_cold_epoch(time_point now);

    warmth warmth_;
    std::uint32_t ramp_limit_ = 1; // power of two, or the target's slots
    std::uint32_t consecutive_answers_ = 0; // in a row at this step
    bool answered_in_epoch_ = false; // this host had an answer in this epoch
    time_point state_since_{};       // of the present state of warmth
    time_point ignore_warm_until_{}; // no warm notice counts before it
    time_point ramp_limit_since_{};  // answers to older sends don't count
    time_point backoff_until_{};
    duration backoff_{0}; // the last one; 0 after an answer
};

} // namespace kumquatramp

#endif
