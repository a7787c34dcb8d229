// Interface between the callers' port and the host that executes requests.
#ifndef KUMQUATRAMP_TRANSPORT_CALLER_SERVICE_HPP
#define KUMQUATRAMP_TRANSPORT_CALLER_SERVICE_HPP

#include <base/result.hpp>
#include <functional>
#include <membership/discovery.hpp>
#include <node/caller_request.hpp>
#include <node/request_answer.hpp>
#include <requests/request_outcome.hpp>
#include <string>
#include <string_view>

namespace kumquatramp
{

/// Used by the callers' port and, except for run(), by the operators' port.
/// Thread-safe.
class caller_service
{
public:
    using answer_handler = std::function<void(request_answer const&)>;

    caller_service() = default;
    caller_service(caller_service const&) = delete;
    caller_service& operator=(caller_service const&) = delete;
    virtual ~caller_service() = default;

    /// Executes a request and returns the number assigned to it. `done` is
    /// called exactly once, on the event loop, after this call has returned.
    virtual query_number run(caller_request request, std::string trace,
                             answer_handler done) = 0;

    /// Reports that the caller has disconnected. A query is cancelled; a
    /// non-idempotent request continues, since its caller can reconnect and
    /// ask for its outcome.
    virtual void caller_disconnected(query_number number) = 0;

    virtual result<std::string> issue_request_id() = 0;

    virtual result<request_id> decode_request_id(std::string_view text) = 0;

    virtual result<request_outcome> outcome_of(request_id const& id) = 0;

    /// Cancels a pending request; no effect if no such request is pending.
    virtual void cancel(request_id const& id) = 0;

    virtual result<discovery_answer>
    discover(discovery_request const& request) = 0;

    virtual bool ready() = 0;

    /// How long an issued request id remains usable.
    virtual duration request_id_lifetime() const = 0;

    /// Generates a trace id.
    virtual std::string new_trace() = 0;
};

} // namespace kumquatramp

#endif
