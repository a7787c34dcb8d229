// Invariants that the log of every run must satisfy.
#ifndef KUMQUATRAMP_SCENARIOS_INVARIANTS_HPP
#define KUMQUATRAMP_SCENARIOS_INVARIANTS_HPP

#include <base/time.hpp>
#include <scenarios/run_log.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace kumquatramp::scenarios
{

/// One violation of an invariant.
struct violation
{
    std::string_view invariant; ///< name of the check
    time_point at;
    std::string text;
};

using violations = std::vector<violation>;

/// Each request id is executed at most once.
violations check_at_most_once(run_log const& log);

/// A request reported as not run is never executed, neither before nor after
/// the report.
violations check_not_run_is_true(run_log const& log);

/// Each answer comes from a single snapshot and states its actual coverage, and
/// each of its parts was computed by a target for this request and shard.
violations check_answers_whole(run_log const& log);

/// A target in cold start never has more sub-requests in flight than its
/// cold-start limit.
violations check_cold_targets(run_log const& log);

/// No host sends new work to a drained or leaving target later than
/// `max_drain_delay` after the drain or departure was published.
violations check_closed_targets(run_log const& log);

/// No host that accepts requests reverts to an older configuration version.
violations check_config_never_reverts(run_log const& log);

/// `max_propagation_delay` after a version was published, every host that
/// accepts requests has it, or a later one, in force.
violations check_config_in_force(run_log const& log);

/// Each request gets exactly one answer from its host, or at most one if the
/// host was killed. Requests submitted in the last `settle_time` before `end`
/// may still be unanswered.
violations check_one_answer(run_log const& log, time_point end);

/// A host in graceful shutdown still serves requests from callers whose
/// discovery answer is within its lifetime, and it answers every request before
/// it exits.
violations check_shutdown(run_log const& log);

/// No target is asked for more connections than its limit.
violations check_connections(run_log const& log);

/// All of the above.
violations check_all(run_log const& log, time_point end);

inline constexpr duration max_drain_delay = 5s;
inline constexpr duration max_propagation_delay = 7s;
inline constexpr duration settle_time = 5s;

} // namespace kumquatramp::scenarios

#endif
