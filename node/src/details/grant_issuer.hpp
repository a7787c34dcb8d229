// Issues send grants for cold targets, on their steward.
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

/// Each grant holds one permit of the target's gate on this host, so that the
/// warm-up ramp bounds own and granted sends together. Thread-safe.
class grant_issuer
{
public:
    /// Grants a send if the target is cold and a permit of its gate is
    /// available. The gate of a cold target admits sends only while this host
    /// is its steward.
    grant_answer issue(std::shared_ptr<target_gate> const& gate,
                       time_point now);

    /// Releases the permit of the grant; ignored if the grant is unknown.
    void report(grant_report const& report, time_point now);

    /// Releases the permits of grants that were not reported within
    /// grant_reclaim_timeout.
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
