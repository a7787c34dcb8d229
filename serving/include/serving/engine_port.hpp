// What the request engine asks of its driver.
#ifndef KUMQUATRAMP_SERVING_ENGINE_PORT_HPP
#define KUMQUATRAMP_SERVING_ENGINE_PORT_HPP

#include <base/time.hpp>
#include <cstdint>
#include <memory>

namespace kumquatramp::serving
{

struct target;
struct client_answer;
struct backend_service;
struct request_summary;

using request_handle = std::uint64_t;
using attempt_handle = std::uint64_t;

/// One send of a client's request to a target.
struct attempt_order
{
    attempt_handle attempt = 0;
    request_handle request = 0;
    std::shared_ptr<target> to{};
    int connection_limit = 0; ///< connections this host may hold to it
    time_point deadline = never;
    bool repeatable = false; ///< the request may be repeated
};

/// Carried out by the driver. Calls back into the engine only from the event
/// loop, never from within these methods.
class engine_port
{
public:
    engine_port() = default;
    engine_port(engine_port const&) = delete;
    engine_port& operator=(engine_port const&) = delete;
    virtual ~engine_port() = default;

    /// Ends with exactly one request_engine::on_reply, also after abandon.
    virtual void start_attempt(attempt_order const& order) = 0;

    /// The answer is of no use any more: break it off at the target.
    virtual void abandon_attempt(attempt_handle attempt) = 0;

    /// Delivers the one final answer of a request.
    virtual void answer(request_handle request, client_answer answer) = 0;

    /// A request has ended; one line with all that was decided on it.
    virtual void log_request(request_handle request,
                             request_summary const& summary) = 0;
};

} // namespace kumquatramp::serving

#endif
