// Requests send grants for cold targets from their stewards.
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

/// A grant that this host received and has not used yet.
struct held_grant
{
    member_entry steward;
    std::uint64_t number = 0;
    time_point expires;      ///< no send may start at or after this
    std::uint32_t epoch = 0; ///< of the target's warmth when it was issued;
                             ///< a higher epoch means that the target has
                             ///< restarted and voids the grant
};

/// Requests one grant at a time from the steward of a target. Thread-safe.
class grant_client
{
public:
    grant_client(host_name self, member_table const& members);

    /// Returns and consumes an unexpired grant for the target. If there is
    /// none, requests one, unless a request was made recently. Expired grants
    /// found on the way are returned to their stewards.
    std::optional<held_grant> take(target_name const& target, time_point now,
                                   action_list& out);

    /// Handles the steward's answer to a request sent at `asked`.
    void on_answer(member_entry const& steward, target_name const& target,
                   grant_answer const& answer, time_point asked,
                   time_point now);

    /// Pauses requests after this host failed to connect to the target, so
    /// that its own network problem does not delay the target's warm-up.
    void back_off(target_name const& target, time_point now);

    /// Returns expired unused grants to their stewards.
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

/// Builds the report to the steward of how the send under a grant ended.
report_grant make_report(held_grant const& grant, target_name target,
                         attempt_outcome outcome, duration latency);

} // namespace kumquatramp

#endif
