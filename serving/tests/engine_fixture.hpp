// Fixture: a request engine whose targets are simulated by the test.
#ifndef KUMQUATRAMP_SERVING_TESTS_ENGINE_FIXTURE_HPP
#define KUMQUATRAMP_SERVING_TESTS_ENGINE_FIXTURE_HPP

#include <base/seeded_random.hpp>
#include <map>
#include <memory>
#include <serving/client_answer.hpp>
#include <serving/engine_port.hpp>
#include <serving/event_sink.hpp>
#include <serving/fleet_size.hpp>
#include <serving/request_engine.hpp>
#include <serving/request_summary.hpp>
#include <serving/route_catalogue.hpp>
#include <serving/target.hpp>
#include <serving/target_reply.hpp>
#include <serving/target_table.hpp>
#include <serving/warmup_share.hpp>
#include <set>
#include <string>
#include <vector>

namespace kumquatramp::serving::testing
{

/// Records the name and subject of each event.
class recording_log final : public event_sink
{
public:
    void note(std::string_view event, std::string_view subject,
              std::string_view) override
    {
        events.emplace_back(std::string(event) + " " + std::string(subject));
    }

    std::vector<std::string> events;
};

class fixed_fleet final : public fleet_size
{
public:
    int hosts(time_point) const override { return count; }
    int rank(std::string_view, time_point) const override { return place; }

    int count = 1;
    int place = 0;
};

/// Records the sends of the engine; the test supplies the replies.
class engine_fixture : public engine_port
{
public:
    explicit engine_fixture(serving_options options = default_options(),
                            std::uint64_t seed = 1);

    static serving_options default_options();

    /// Adds targets of a service, one per zone, with ids "SERVICE-ZONE".
    void add_targets(std::string const& service,
                     std::vector<std::string> const& zones, int slots = 4);
    /// Configures a scatter-gather route /all/ over the services and, for each
    /// service, the plain routes /SERVICE/ (idempotent) and /once/SERVICE/ (not
    /// idempotent).
    void configure(std::vector<std::string> const& services,
                   double min_coverage, std::uint64_t version = 1);

    void submit(request_handle handle, std::string_view path,
                duration time_left = 800ms);
    void advance(duration length);

    /// Replies to the newest open attempt at a target.
    void reply_ok(std::string const& target, std::string body = "part");
    void reply(std::string const& target, reply_kind kind, int status = 0);
    void reply(std::string const& target, target_reply r);
    /// Replies to all open attempts except those at the targets named.
    void reply_all_but(std::vector<std::string> const& silent = {});

    bool open_at(std::string const& target) const;
    std::size_t open_count() const { return open_.size(); }
    std::size_t sends_to(std::string const& target) const;

    void start_attempt(attempt_order const& order) override;
    void abandon_attempt(attempt_handle attempt) override;
    void answer(request_handle request, client_answer answer) override;
    void log_request(request_handle request,
                     request_summary const& summary) override;
    void release_request(request_handle request) override;

    time_point now = time_point(1h);
    seeded_random random;
    recording_log log;
    fixed_fleet fleet;
    target_table table;
    warmup_share warmup;
    request_engine engine;

    std::map<request_handle, client_answer> answers;
    std::map<request_handle, request_summary> summaries;
    std::set<request_handle> released;
    std::vector<std::string> sent; ///< targets in the order of sends
    std::vector<attempt_handle> abandoned;

private:
    attempt_handle newest_at(std::string const& target) const;

    std::map<attempt_handle, attempt_order> open_;
};

} // namespace kumquatramp::serving::testing

#endif
