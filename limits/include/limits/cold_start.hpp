// Warm or cold state of a target, and the ramp that warms it up.
#ifndef KUMQUATRAMP_LIMITS_COLD_START_HPP
#define KUMQUATRAMP_LIMITS_COLD_START_HPP

#include <base/time.hpp>
#include <cstdint>
#include <limits/warmth.hpp>

namespace kumquatramp
{

/// Ramps up the attempts that a cold target may have in flight. The ramp limit
/// starts at 1 and doubles after a number of consecutive answers. A refusal, a
/// timeout or a lost connection resets it to 1 and starts a backoff, which
/// grows until an answer arrives. Enough answers at a ramp limit equal to the
/// target's slots make the target warm. Not thread-safe.
///
/// A host that has lost a connection cannot tell whether a notice that the
/// target is warm was sent before or after that loss. It therefore ignores such
/// notices for notice_propagation_time. By then all stale notices have been
/// delivered, so a later one comes from a host that did not see the loss that
/// made the target cold. Peers must repeat their notices for longer than
/// notice_propagation_time.
class cold_start
{
public:
    /// Upper bound of the time in which a notice reaches all hosts.
    static constexpr duration notice_propagation_time = 3s;

    bool warm() const { return warmth_.warm; }
    warmth seen() const { return warmth_; }

    /// Attempts that the steward may have in flight while the target is cold.
    std::uint32_t ramp_limit() const { return ramp_limit_; }

    /// Whether new attempts must wait after a refusal, timeout or connection
    /// loss.
    bool backing_off(time_point now) const { return now < backoff_until_; }

    /// A complete answer to an attempt sent at `sent`, from a target with
    /// `slots`. While answers are `slow` compared with those of the warm
    /// target, they do not advance the ramp.
    void on_answer(std::uint32_t slots, bool slow, time_point sent,
                   time_point now);

    /// The target refused an attempt, did not answer in time or cannot be
    /// reached. Resets the ramp and extends the backoff.
    void on_failure(time_point now);

    /// This host cancelled an attempt that the target may still be executing.
    void on_cancelled(time_point now);

    /// An established connection broke.
    void on_disconnect(time_point now);

    /// The target could not be reached. Unless it has answered this host in the
    /// current epoch, the cause may lie elsewhere, so that only this host backs
    /// off.
    void on_unreachable(time_point now);

    /// A warm target cannot sustain even the minimum load any more.
    void mark_cold(time_point now);

    /// Merges the warmth that a peer reported.
    void observe(warmth seen, time_point now);

    /// Restarts the ramp at a limit of 1.
    void restart_ramp(time_point now);

private:
    void set_warmth(warmth next, time_point now);
    void begin_cold_epoch(time_point now);

    warmth warmth_;
    std::uint32_t ramp_limit_ = 1; // power of two, or the target's slots
    std::uint32_t consecutive_answers_ = 0; // at this ramp limit
    bool answered_in_epoch_ = false; // by this host, in the current epoch
    time_point state_since_{};       // when warmth_ last changed
    time_point ignore_warm_until_{}; // ignore warm notices until then
    time_point ramp_limit_since_{};  // answers to earlier attempts do not count
    time_point backoff_until_{};
    duration backoff_{0}; // most recent length; 0 after an answer
};

} // namespace kumquatramp

#endif
