// Registry of callers that wait for an answer.
#ifndef KUMQUATRAMP_TRANSPORT_WAITING_CALLS_HPP
#define KUMQUATRAMP_TRANSPORT_WAITING_CALLS_HPP

#include <array>
#include <base/ids.hpp>
#include <base/time.hpp>
#include <functional>
#include <memory>
#include <mutex>
#include <node/request_answer.hpp>
#include <optional>
#include <requests/request_id.hpp>
#include <string>
#include <unordered_map>

namespace kumquatramp
{

/// One caller that waits for an answer.
struct waiting_call
{
    std::string trace;
    service_name service;
    caller_name caller;
    std::optional<request_id> once; ///< set for non-idempotent requests
    time_point started;
    std::function<void(request_answer const&)> done;
};

/// All waiting calls by request number, in a map with striped locks.
/// Thread-safe.
class waiting_calls
{
public:
    using call = std::shared_ptr<waiting_call const>;

    void add(query_number number, call waiting);

    /// Both return null if no call with this number is waiting; take() also
    /// removes the call.
    call find(query_number number);
    call take(query_number number);

    /// The number of the waiting request with this id, if there is one.
    std::optional<query_number> number_of(request_id const& id);

private:
    struct stripe
    {
        std::mutex mutex;
        std::unordered_map<query_number, call> calls; // guarded by mutex
    };

    static constexpr std::size_t stripe_count = 16;

    stripe& stripe_of(query_number number);

    std::array<stripe, stripe_count> stripes_;
};

} // namespace kumquatramp

#endif
