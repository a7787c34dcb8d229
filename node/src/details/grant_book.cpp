// Places lent to other hosts.
#include "details/grant_book.hpp"
#include <algorithm>
#include <vector>

namespace kumquatramp
{

grant_answer grant_book::ask(std::shared_ptr<target_gate> const& gate,
                             time_point now)
{
    auto const seen = gate->seen();
    if (seen.warm || !gate->try_acquire(now))
    {
        return {0, seen};
    }
    std::lock_guard const guard(mutex_);
    ++last_;
    held_.emplace(last_, held{gate, now});
    return {last_, seen};
}

void grant_book::report(grant_report const& report, time_point now)
{
    std::shared_ptr<target_gate> gate;
    duration latency{0};
    {
        std::lock_guard const guard(mutex_);
        auto const found = held_.find(report.grant);
        if (found == held_.end())
        {
            return;
        }
        gate = found->second.gate;
        // The gate is to know that the send is as old as its grant, lest an
        // answer from before a restart count for the ramp after it.
        latency = std::max(report.latency, now - found->second.given);
        held_.erase(found);
    }
    gate->release(report.outcome, latency, {}, now);
}

void grant_book::expire(time_point now)
{
    std::vector<std::shared_ptr<target_gate>> lost;
    {
        std::lock_guard const guard(mutex_);
        std::erase_if(held_,
                      [&](auto const& entry)
                      {
                          bool const over =
                              now - entry.second.given >= grant_reclaim_timeout;
                          if (over)
                          {
                              lost.push_back(entry.second.gate);
                          }
                          return over;
                      });
    }
    for (auto const& gate : lost)
    {
        // What became of the send is not known; count it as the worst.
        gate->release(attempt_outcome::timed_out, grant_reclaim_timeout, {},
                      now);
    }
}

} // namespace kumquatramp
