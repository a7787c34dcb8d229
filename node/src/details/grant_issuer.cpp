// Gate permits granted to other hosts.
#include "details/grant_issuer.hpp"
#include <algorithm>
#include <vector>

namespace kumquatramp
{

grant_answer grant_issuer::issue(std::shared_ptr<target_gate> const& gate,
                                 time_point now)
{
    auto const seen = gate->seen();
    if (seen.warm || !gate->try_acquire(now))
    {
        return {0, seen};
    }
    std::lock_guard const guard(mutex_);
    ++last_number_;
    issued_.emplace(last_number_, issued_grant{gate, now});
    return {last_number_, seen};
}

void grant_issuer::report(grant_report const& report, time_point now)
{
    std::shared_ptr<target_gate> gate;
    duration latency{0};
    {
        std::lock_guard const guard(mutex_);
        auto const found = issued_.find(report.grant);
        if (found == issued_.end())
        {
            return;
        }
        gate = found->second.gate;
        // Count the latency from when the grant was issued, so that the gate
        // does not credit an answer from before a restart to the ramp after it.
        latency = std::max(report.latency, now - found->second.issued_at);
        issued_.erase(found);
    }
    gate->release(report.outcome, latency, {}, now);
}

void grant_issuer::expire(time_point now)
{
    std::vector<std::shared_ptr<target_gate>> expired;
    {
        std::lock_guard const guard(mutex_);
        std::erase_if(issued_,
                      [&](auto const& entry)
                      {
                          bool const is_expired =
                              now - entry.second.issued_at >=
                              grant_reclaim_timeout;
                          if (is_expired)
                          {
                              expired.push_back(entry.second.gate);
                          }
                          return is_expired;
                      });
    }
    for (auto const& gate : expired)
    {
        // The result of the send is unknown; assume the worst.
        gate->release(attempt_outcome::timed_out, grant_reclaim_timeout, {},
                      now);
    }
}

} // namespace kumquatramp
