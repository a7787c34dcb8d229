// All targets by service, and the choice among a service's replicas.
#ifndef KUMQUATRAMP_SERVING_TARGET_TABLE_HPP
#define KUMQUATRAMP_SERVING_TARGET_TABLE_HPP

#include <base/random_source.hpp>
#include <base/time.hpp>
#include <map>
#include <memory>
#include <serving/target.hpp>
#include <serving/target_states.hpp>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace kumquatramp::serving
{

class event_sink;

/// Follows the registry and the evidence of this host's own requests. Own
/// evidence weighs more than the registry or health answers.
///
///     target_table table("zone-a", random, log);
///     table.put(record, now);
///     auto t = table.choose("shard-1", 20ms, {}, now);
class target_table
{
public:
    /// Entries that have gone are kept as a last resort for `unlisted_hold`:
    /// they may be back after an outage of the registry.
    target_table(std::string own_zone, duration unlisted_hold,
                 random_source& random, event_sink& log);

    /// The registry lists this target, new or changed.
    void put(target_record record, time_point now);

    /// The registry's entry has gone.
    void remove(std::string_view id, time_point now);

    /// A whole listing of the registry: what it lacks has gone.
    void retain(std::set<std::string, std::less<>> const& listed,
                time_point now);

    void evacuate(std::string const& zone, time_point now);
    void end_evacuation(std::string const& zone, time_point now);
    /// The zones that are evacuated now; all others are not.
    void set_evacuated(std::set<std::string> const& zones, time_point now);

    /// Moves unlisted targets to gone when their hold has passed.
    void tick(time_point now);

    /// The replica with the least expected latency, or null. `usual` is the
    /// route's usual latency. `tried` are left out.
    std::shared_ptr<target> choose(std::string_view service, duration usual,
                                   std::span<target const* const> tried,
                                   time_point now);

    /// Like choose, for a second send while the first goes on: only targets
    /// that are expected to answer promptly.
    std::shared_ptr<target>
    choose_for_hedge(std::string_view service, duration usual,
                     std::span<target const* const> tried, time_point now);

    /// Whether a request may be sent to this target at this moment.
    bool may_send(target const& t) const;

    /// Whether any target of the service may receive a request.
    bool has_usable(std::string_view service) const;

    void count_success(target& t, duration latency, duration usual,
                       time_point now);
    /// The target failed, refused or broke the connection.
    void count_failure(target& t, time_point now);
    /// The target tells how many requests it holds. `usual` and `objective`
    /// are the route's: a queue that takes too much of the objective lowers
    /// the share of sends that the target is given.
    void report_load(target& t, int busy, duration usual, duration objective,
                     time_point now);

    /// Whether the target's queue has room for one more, by its share.
    bool admits(target const& t);
    /// The target says itself that it is leaving.
    void mark_leaving(target& t, time_point now);
    /// Another instance is at the target's address.
    void mark_misdirected(target& t, time_point now);
    void mark_cold(target& t, duration left, time_point now);

    std::size_t size() const { return by_id_.size(); }
    std::span<std::shared_ptr<target> const>
    replicas(std::string_view service) const;
    std::size_t usable_count() const;
    target_states states(time_point now) const;

private:
    std::shared_ptr<target> pick(std::string_view service, duration usual,
                                 std::span<target const* const> tried,
                                 bool for_hedge, time_point now);
    double expected_ms(target const& t, double usual_ms, time_point now);
    void drop(std::shared_ptr<target> const& t, std::string_view cause);

    std::string own_zone_;
    duration unlisted_hold_;
    random_source& random_;
    event_sink& log_;
    std::unordered_map<std::string, std::shared_ptr<target>> by_id_;
    std::map<std::string, std::vector<std::shared_ptr<target>>, std::less<>>
        by_service_;
    std::set<std::string> evacuated_;
};

} // namespace kumquatramp::serving

#endif
