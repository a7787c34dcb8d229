// The callers that wait for their answers.
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

/// One caller's wait.
struct waiting_call
{
    std::string trace;
    service_name service;
    caller_name caller;
    std::optional<request_id> once; ///< of non-idempotent requests
    time_point started;
    std::function<void(request_answer const&)> done;
};

/// All waits, by the number of the request. Safe from any thread.
class waiting_calls
{
public:
    using call = std::shared_ptr<waiting_call const>;

    void add(query_number number, call waiting);

    /// Null if nobody waits under the number.
    call find(query_number number);
    call take(query_number number);

    /// The number under which a request id is being run, if it is.
    std::optional<query_number> number_of(request_id const& id);

private:
    struct shard
    {
        std::mutex mutex;
        std::unordered_map<query_number, call> calls; // guarded by mutex
    };

    static constexpr std::size_t shard_count = 16;

    shard& shard_of(query_number number);

    std::array<shard, shard_count> shards_;
};

} // namespace kumquatramp

#endif
