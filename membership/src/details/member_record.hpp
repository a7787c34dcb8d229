// State that a host keeps about one member, including its incarnations.
#ifndef KUMQUATRAMP_MEMBERSHIP_DETAILS_MEMBER_RECORD_HPP
#define KUMQUATRAMP_MEMBERSHIP_DETAILS_MEMBER_RECORD_HPP

#include <base/ids.hpp>
#include <base/time.hpp>
#include <cstdint>
#include <membership/member_state.hpp>
#include <membership/membership_options.hpp>
#include <membership/peer_digest.hpp>
#include <vector>

namespace kumquatramp
{

/// Incarnations are not ordered by their values. Rules for accepting one as
/// running:
/// - A heartbeat that a host sends about itself is accepted at once, and so is
///   one that another host relays about a member that was not heard of before.
/// - Otherwise a relayed incarnation is accepted only while the heartbeat of
///   the known incarnation has not increased recently, and only after its own
///   heartbeat was seen to increase, since only a running process increases it.
///   Until then the member counts as suspect.
/// - A replaced incarnation is accepted again only with a higher heartbeat than
///   it had when it was replaced, so that delayed messages cannot restore it
///   for long.
class member_record
{
public:
    /// Origin of a heartbeat.
    enum class source : std::uint8_t
    {
        itself,
        another,
    };

    explicit member_record(member_entry entry, bool listed);

    /// Applies the member's entry in the platform's list.
    void set_entry(member_entry const& entry);

    /// Marks the member as no longer listed.
    void set_unlisted() noexcept { listed_ = false; }

    /// Processes a heartbeat. Returns whether the incarnation is new or has
    /// started to leave, which peers should learn soon.
    bool observe(heartbeat const& beat, source from,
                 membership_options const& options, time_point now);

    liveness state(membership_options const& options, time_point now) const;

    /// Whether any of its incarnations was heard from within `span`.
    bool heard_within(duration span, time_point now) const;

    member_entry const& entry() const noexcept { return entry_; }
    bool listed() const noexcept { return listed_; }
    incarnation life() const noexcept { return life_; }

    /// Whether an incarnation of the member was accepted as running.
    bool has_incarnation() const noexcept { return has_incarnation_; }

    /// Whether the running incarnation announced that it is leaving.
    bool leaving() const noexcept { return leaving_; }

    /// Returns the heartbeat to pass on to peers.
    heartbeat beat() const;

private:
    /// An incarnation other than the running one: replaced, or relayed by
    /// another host and not yet seen to increase its heartbeat.
    struct other_incarnation
    {
        incarnation life;
        std::uint64_t count = 0;
        time_point seen;
    };

    bool observe_known(heartbeat const& beat, time_point now);
    bool observe_other(heartbeat const& beat, source from,
                       bool recently_increased, time_point now);
    bool increased_within(duration span, time_point now) const;
    void remember(incarnation life, std::uint64_t count, time_point seen);
    void adopt(heartbeat const& beat, time_point now);

    member_entry entry_;
    bool listed_;

    // Invariant: the fields below are valid only if has_incarnation_.
    bool has_incarnation_ = false;
    incarnation life_;
    std::uint64_t count_ = 0;    // never decreases within an incarnation
    time_point last_increase_{}; // when count_ last increased
    bool leaving_ = false;       // never reset within an incarnation

    // At most max_other_incarnations, newest last.
    std::vector<other_incarnation> others_;
};

} // namespace kumquatramp

#endif
