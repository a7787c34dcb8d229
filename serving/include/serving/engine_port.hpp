// Interface through which the request engine acts: sending and answering.
#ifndef KUMQUATRAMP_SERVING_ENGINE_PORT_HPP
#define KUMQUATRAMP_SERVING_ENGINE_PORT_HPP

#include <base/time.hpp>
#include <cstdint>
#include <memory>
#include <vector>

namespace kumquatramp::serving
{

struct target;
struct client_answer;
struct backend_service;
struct request_summary;

using request_handle = std::uint64_t;
using attempt_handle = std::uint64_t;
/// Identifies a connection to a target; never reused. 0: none.
using connection_id = std::uint64_t;

/// Instruction to send a client's request to a target.
struct attempt_order
{
    attempt_handle attempt = 0;
    request_handle request = 0;
    std::shared_ptr<target> to{};
    int connection_limit = 0; ///< of this host to the target
    time_point deadline = never;
    bool repeatable = false; ///< the request is idempotent
    /// Connections that have carried the request before. A late copy of a
    /// response on one of them bears the id of this send too and would be taken
    /// for its response.
    std::vector<connection_id> excluded_connections{};
};

/// Implemented by the driver, which does the I/O. It calls back into the engine
/// only from the event loop, never from within these methods.
class engine_port
{
public:
    engine_port() = default;
    engine_port(engine_port const&) = delete;
    engine_port& operator=(engine_port const&) = delete;
    virtual ~engine_port() = default;

    /// Starts a send. Each attempt ends with exactly one call of
    /// request_engine::on_reply, also after abandon_attempt.
    virtual void start_attempt(attempt_order const& order) = 0;

    /// Cancels an attempt whose answer is no longer needed.
    virtual void abandon_attempt(attempt_handle attempt) = 0;

    /// Delivers the final answer of a request; called at most once for each.
    virtual void answer(request_handle request, client_answer answer) = 0;

    /// Logs the summary of a request that has ended.
    virtual void log_request(request_handle request,
                             request_summary const& summary) = 0;

    /// Called once for each request after all other calls for it: it has been
    /// answered or its client has left, and no attempt of it will be sent.
    virtual void release_request(request_handle request) = 0;
};

} // namespace kumquatramp::serving

#endif
