// Log of the events of a run, as observed from outside the hosts.
#ifndef KUMQUATRAMP_SCENARIOS_RUN_LOG_HPP
#define KUMQUATRAMP_SCENARIOS_RUN_LOG_HPP

#include <base/attempt_id.hpp>
#include <base/ids.hpp>
#include <base/time.hpp>
#include <config/config_key.hpp>
#include <map>
#include <node/request_answer.hpp>
#include <optional>
#include <string>
#include <vector>

namespace kumquatramp::scenarios
{

/// A target started to execute a sub-request, queued it, or failed it after an
/// overrun in cold start.
struct execution_record
{
    time_point at;
    target_name target;
    attempt_id attempt;
    std::string request_id;       ///< empty for queries
    bool cold = false;            ///< the target was in cold start
    std::uint32_t in_flight = 0;  ///< at the target, this one included
    std::uint32_t cold_limit = 0; ///< most in flight allowed while cold
};

/// A host sent the first byte of a sub-request.
struct send_record
{
    time_point at;
    target_name target;
    host_name host;
};

/// A caller submitted a request to a host.
struct submit_record
{
    time_point at;
    host_name host;
    incarnation life;
    query_number number;
    service_name service;
    std::uint64_t key = 0;   ///< sent in the body, echoed in payloads
    std::string request_id;  ///< empty for queries
    bool fresh_hosts = true; ///< the caller's discovery answer was still valid
};

/// A host answered a request.
struct answer_record
{
    time_point at;
    incarnation life;
    query_number number;
    request_answer answer;
};

/// A host reported that a request was not and will not be executed.
struct not_run_record
{
    time_point at;
    std::string request_id;
};

/// From `from` on, a target must not receive new work (`closed`), or may
/// receive it again.
struct closing_record
{
    time_point from;
    target_name target;
    bool closed = true;
};

/// A valid version of a value became readable on the platform.
struct publish_record
{
    time_point at;
    config_key key = config_key::rules;
    config_version version;
};

/// The version in force on a host that accepts requests.
struct config_record
{
    time_point at;
    host_name host;
    config_key key = config_key::rules;
    config_version version;
};

/// The graceful shutdown of a host.
struct shutdown_record
{
    host_name host;
    incarnation life;
    time_point asked;
    time_point finished = never;
};

/// Peak of a target's concurrent connections, the refused ones included, and
/// its limit.
struct connection_record
{
    std::uint32_t peak = 0;
    std::uint32_t limit = 0;
};

/// The final outcome of a caller's request, after any retries on other hosts.
struct caller_record
{
    service_name service;
    time_point asked;
    time_point ended;
    std::optional<error_kind> failed; ///< of the last answer, if it failed
    bool lost = false; ///< no host answered, or all turned the caller away
    run_state state = run_state::unknown; ///< if it failed
    double coverage = 0;
    std::uint32_t sends = 0;
    std::uint32_t hedges = 0;
};

/// All records are in chronological order.
struct run_log
{
    std::vector<execution_record> executions;
    std::vector<send_record> sends;
    std::vector<submit_record> submits;
    std::vector<answer_record> answers;
    std::vector<not_run_record> not_runs;
    std::vector<closing_record> closings;
    std::vector<publish_record> publishes;
    std::vector<config_record> configs;
    std::vector<shutdown_record> shutdowns;
    std::vector<caller_record> callers;
    std::map<target_name, connection_record> connections;
    std::vector<incarnation> killed; ///< hosts that ended without shutdown

    /// Number of shards by map version, by service.
    std::map<service_name, std::map<std::uint64_t, std::uint32_t>> maps;
};

} // namespace kumquatramp::scenarios

#endif
