// The asking side of send grants.
#ifndef KUMQUATRAMP_NODE_DETAILS_GRANT_CLIENT_HPP
#define KUMQUATRAMP_NODE_DETAILS_GRANT_CLIENT_HPP

#include <base/ids.hpp>
#include <base/time.hpp>
#include <membership/member_table.hpp>
#include <membership/send_grant.hpp>
#include <mutex>
#include <node/actions.hpp>
#include <optional>
#include <unordered_map>
#include <vector>

namespace kumquatramp
{

/// A grant in this host's hands.
struct held_grant
{
    member_entry steward;
    std::uint64_t number = 0;
    time_point expires;      ///< no send may start at or after this
    std::uint32_t epoch = 0; ///< of the target's warmth when it was given;
                             ///< void once the target is seen to restart
};

/// Asks a target's steward for one grant at a time. Safe from any thread.
class grant_client
{
public:
    grant_client(host_name self, member_table const& members);

    /// An unexpired grant for the target, which is used up by this; else
    /// asks for one, unless that was done lately.
    std::optional<held_grant> take(target_name const& target, time_point now,
                                   action_list& out);

    /// The steward's answer to a question asked at `asked`.
    void on_answer(member_entry const& steward, target_name const& target,
                   grant_answer const& answer, time_point asked,
                   time_point now);

    /// This host could not reach the target: it asks no more for a while,
    /// so that its own trouble does not hold up the target's start.
    void back_off(target_name const& target, time_point now);

    /// Gives expired grants back to their stewards unused.
    void expire(time_point now, action_list& out);

private:
    struct target_grants
    {
        time_point next_request{};
        std::vector<held_grant> held;
    };

    std::optional<member_entry> steward_of(target_name const& target,
                                           time_point now) const;

    host_name const self_;
    member_table const& members_;
    std::mutex mutex_;
    std::unordered_map<target_name, target_grants>
        grants_by_target_; // guarded by mutex_
};

/// Tells the steward how the send under a grant ended.
report_grant make_report(held_grant const& grant, target_name target,
                         attempt_outcome outcome, duration latency);

} // namespace kumquatramp

#endif
