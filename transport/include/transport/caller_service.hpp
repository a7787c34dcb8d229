// What the callers' port needs of a host.
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

/// Used by the callers' port and, but for run(), by the operators' one: safe
/// from any thread.
class caller_service
{
public:
    using answer_handler = std::function<void(request_answer const&)>;

    caller_service() = default;
    caller_service(caller_service const&) = delete;
    caller_service& operator=(caller_service const&) = delete;
    virtual ~caller_service() = default;

    /// Runs a request under a number that is chosen here. `done` is called
    /// once, on the loop, after this call has returned.
    virtual query_number run(caller_request request, std::string trace,
                             answer_handler done) = 0;

    /// The caller has left. A query is withdrawn; a non-idempotent request
    /// goes on, since its caller can come back and ask for its outcome.
    virtual void caller_left(query_number number) = 0;

    virtual result<std::string> issue_request_id() = 0;

    virtual result<request_id> decode_request_id(std::string_view text) = 0;

    virtual result<request_outcome> outcome_of(request_id const& id) = 0;

    /// Withdraws a request that waits; nothing happens if there is none.
    virtual void cancel(request_id const& id) = 0;

    virtual result<discovery_answer>
    discover(discovery_request const& request) = 0;

    virtual bool ready() = 0;

    /// How long an issued id may wait to be used.
    virtual duration request_id_lifetime() const = 0;

    /// A fresh trace id.
    virtual std::string new_trace() = 0;
};

} // namespace kumquatramp

#endif
