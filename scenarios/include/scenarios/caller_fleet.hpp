// Simulated callers: host discovery, requests, and retries on other hosts.
#ifndef KUMQUATRAMP_SCENARIOS_CALLER_FLEET_HPP
#define KUMQUATRAMP_SCENARIOS_CALLER_FLEET_HPP

#include <base/ids.hpp>
#include <base/seeded_random.hpp>
#include <functional>
#include <map>
#include <memory>
#include <node/caller_request.hpp>
#include <node/request_answer.hpp>
#include <scenarios/run_parts.hpp>
#include <string>
#include <vector>

namespace kumquatramp::scenarios
{

/// Generates open-loop load: requests arrive at random intervals with the
/// given mean rate, independently of the progress of earlier requests. Each
/// caller caches a discovery answer until its lifetime ends, then queries a
/// randomly chosen host again.
class caller_fleet
{
public:
    caller_fleet(run_parts const& parts, std::vector<zone_name> const& zones,
                 std::uint64_t seed);
    ~caller_fleet();

    /// Sets the mean arrival rate to `rate` requests per second; 0 stops the
    /// load.
    void set_load(service_name const& service, bool idempotent, double rate);

private:
    struct simulated_caller;
    struct call;
    struct load;
    using call_ptr = std::shared_ptr<call>;

    void schedule(std::shared_ptr<load> const& service_load);
    void start_call(load const& service_load);
    void find_hosts(call_ptr const& pending);
    void try_next_host(call_ptr const& pending);
    void send_request(call_ptr const& pending, host_driver& host);
    void obtain_request_id(call_ptr const& pending, host_driver& host);
    void submit(call_ptr const& pending, host_driver& host);
    caller_request make_request(call_ptr const& pending, host_driver& host);
    void send_duplicate(call_ptr const& pending, host_driver& host);
    void record_not_run(std::string const& id, request_answer const& answer);
    void query_outcome(call_ptr const& pending);
    void on_answer(call_ptr const& pending, request_answer const& answer);
    void on_no_answer(call_ptr const& pending, std::uint32_t attempt);
    void finish(call_ptr const& pending, request_answer const* answer);
    void send_to_host(call_ptr const& pending, host_driver& host,
                      std::function<void()> arrival);

    run_parts const parts_;
    seeded_random random_;
    std::vector<std::unique_ptr<simulated_caller>> callers_;
    std::map<service_name, std::shared_ptr<load>> loads_;
    std::uint64_t next_key_ = 1;
};

} // namespace kumquatramp::scenarios

#endif
