// Table of all targets by service; chooses among the replicas of a service.
#ifndef KUMQUATRAMP_SERVING_TARGET_TABLE_HPP
#define KUMQUATRAMP_SERVING_TARGET_TABLE_HPP

#include <base/random_source.hpp>
#include <base/time.hpp>
#include <map>
#include <memory>
#include <optional>
#include <serving/departure_memory.hpp>
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

/// Combines the registry's entries with the outcomes of this host's own
/// requests. The latter weigh more than the registry or health checks.
///
///     target_table table("zone-a", 2s, random, log);
///     table.put(record, now);
///     auto t = table.choose("shard-1", 20ms, {}, now);
class target_table
{
public:
    /// Targets whose registry entry has been removed are kept as a last resort
    /// for `unlisted_hold`: they may return after an outage of the registry.
    target_table(std::string own_zone, duration unlisted_hold,
                 random_source& random, event_sink& log);

    /// Adds or updates a target that the registry lists.
    void put(target_record record, time_point now);

    /// Adds or updates a target by an entry of a registry that was restored
    /// from a copy. The entry may be older than what is known: it does not
    /// bring back an incarnation that drains or has left, and a target that was
    /// not known is a last resort until put() confirms it.
    void put_restored(target_record record, time_point now);

    /// The registry no longer lists this target. A draining target is dropped,
    /// others become unlisted.
    void remove(std::string_view id, time_point now);

    /// Applies a complete listing: removes targets that it does not contain.
    void retain(std::set<std::string, std::less<>> const& listed,
                time_point now);

    /// Stops sends to the targets of a zone until end_evacuation.
    void evacuate(std::string const& zone, time_point now);
    void end_evacuation(std::string const& zone, time_point now);
    /// Like evacuate, by an entry of a registry that was restored from a copy:
    /// has no effect if an evacuation of the zone has recently ended.
    void evacuate_restored(std::string const& zone, time_point now);
    /// Replaces the set of evacuated zones.
    void set_evacuated(std::set<std::string> const& zones, time_point now);

    /// Drops unlisted targets and resets misdirected and resting ones whose
    /// time has passed.
    void tick(time_point now);

    /// The replica with the least expected latency, or null. `usual` is the
    /// route's usual latency; the targets in `tried` are excluded.
    std::shared_ptr<target> choose(std::string_view service, duration usual,
                                   std::span<target const* const> tried,
                                   time_point now);

    /// Like choose, for a hedge: only targets that are expected to answer
    /// promptly.
    std::shared_ptr<target>
    choose_for_hedge(std::string_view service, duration usual,
                     std::span<target const* const> tried, time_point now);

    /// Whether the target is in this host's availability zone.
    bool is_near(target const& t) const { return t.record.zone == own_zone_; }

    /// Whether a request may be sent to this target now.
    bool may_send(target const& t) const;

    /// Time until the target may receive a request; `duration::max()` if that
    /// is unknown.
    duration time_to_usable(target const& t, time_point now) const;

    /// Records a successful attempt. `usual` is the route's usual latency.
    void count_success(target& t, duration latency, duration usual,
                       time_point now);
    /// Records that the target failed or refused a request or broke the
    /// connection.
    void count_failure(target& t, time_point now);
    /// Records the number of requests that the target reports as running or
    /// waiting. `usual` and `objective` are the route's latencies: a queue
    /// whose wait takes too much of the objective lowers the admitted share.
    void report_load(target& t, int busy, duration usual, duration objective,
                     time_point now);

    /// Records the limit on its requests that the target states in an answer,
    /// or that it states none.
    void report_rate_limit(target& t, std::optional<double> per_second,
                           time_point now);

    /// Decides at random, by the admitted share, whether to send to the target.
    bool admits(target const& t);
    /// The target announced that it closes its connections: avoids it briefly.
    void mark_leaving(target& t, time_point now);
    /// The target refused a request and wants nothing from this host for this
    /// long.
    void mark_resting(target& t, duration rest, time_point now);
    /// The target announced its shutdown: it receives nothing from now on, also
    /// if its registry entry says otherwise or lapses and returns.
    void mark_shutting_down(target& t);
    /// Another instance answered at the target's address.
    void mark_misdirected(target& t, time_point now);
    /// No connection to the target could be established. If its process
    /// restarts, the registry tells of it a little later than it accepts
    /// connections, so until then it counts as warming up.
    void mark_unreachable(target const& t, time_point now);
    /// A connection to the target has been established.
    void mark_reachable(target const& t, time_point now);

    std::size_t size() const { return by_id_.size(); }
    /// The targets of a service. Invalidated by any change of the table.
    std::span<std::shared_ptr<target> const>
    replicas(std::string_view service) const;
    /// Number of targets that may receive a request.
    std::size_t usable_count() const;
    /// Number of targets in each state.
    target_states states(time_point now) const;

private:
    std::shared_ptr<target> pick(std::string_view service, duration usual,
                                 std::span<target const* const> tried,
                                 bool for_hedge, time_point now);
    double expected_ms(target const& t, double usual_ms, time_point now);
    void drop(std::shared_ptr<target> const& t, std::string_view cause,
              time_point now);

    std::string own_zone_;
    duration unlisted_hold_;
    random_source& random_;
    event_sink& log_;
    std::unordered_map<std::string, std::shared_ptr<target>> by_id_;
    std::map<std::string, std::vector<std::shared_ptr<target>>, std::less<>>
        by_service_;
    std::set<std::string> evacuated_;
    departure_memory departures_;
    /// Start of the incarnation that announced its shutdown, by target id.
    std::unordered_map<std::string, std::int64_t> shutting_down_;
};

} // namespace kumquatramp::serving

#endif
