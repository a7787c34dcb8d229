// The steward's side of send grants.
#ifndef KUMQUATRAMP_NODE_DETAILS_GRANT_ISSUER_HPP
#define KUMQUATRAMP_NODE_DETAILS_GRANT_ISSUER_HPP

#include <base/time.hpp>
#include <limits/target_gate.hpp>
#include <membership/send_grant.hpp>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace kumquatramp
{

/// Each grant holds one place in the target's gate on this host, so that the
/// ramp bounds own and granted sends together. Safe from any thread.
class grant_issuer
{
public:
    /// Grants a send if the gate has a place; the gate admits only while
    /// this host is the target's steward.
    grant_answer issue(std::shared_ptr<target_gate> const& gate,
                       time_point now);

    /// Gives the place back; ignored if the grant is not issued_grant.
    void report(grant_report const& report, time_point now);

    /// Takes back the places of grants without a report.
    void expire(time_point now);

private:
    struct issued_grant
    {
        std::shared_ptr<target_gate> gate;
        time_point issued_at;
    };

    std::mutex mutex_;
    // All below are guarded by mutex_.
    std::uint64_t last_number_ = 0;
    std::unordered_map<std::uint64_t, issued_grant> issued_;
};

} // namespace kumquatramp

#endif
