// Records the executions and connections of a stand-in target, so that tests
// can check them through its control endpoint.
#ifndef KUMQUATRAMP_STANDINS_TARGET_TARGET_RECORD_HPP
#define KUMQUATRAMP_STANDINS_TARGET_TARGET_RECORD_HPP

#include <cstdint>
#include <json/json.h>
#include <mutex>
#include <string>
#include <vector>

namespace kumquatramp::standins
{

/// The state of the target at the start of an execution.
struct execution
{
    std::string attempt;
    std::string request; ///< empty for idempotent requests
    double since_start_ms = 0;
    bool cold = false;
    std::uint32_t in_flight = 0; ///< executing and waiting, this one included
    bool drained = false;        ///< the target was draining when it arrived
};

/// Thread-safe. Stores the first max_executions executions; later ones are
/// only counted.
class target_record
{
public:
    void add(execution entry);
    void refused(bool draining);
    void connection_opened();
    void connection_closed();
    void connection_refused();

    std::uint32_t connections() const;

    Json::Value to_json() const;

    static constexpr std::size_t max_executions = 100'000;

private:
    mutable std::mutex mutex_;
    // All members below are guarded by mutex_.
    std::vector<execution> executions_;
    std::uint64_t count_ = 0;
    std::uint64_t shed_ = 0;
    std::uint64_t refused_draining_ = 0;
    std::uint32_t peak_cold_ = 0;
    std::uint32_t connections_ = 0;
    std::uint32_t peak_connections_ = 0;
    std::uint64_t connections_refused_ = 0;
};

} // namespace kumquatramp::standins

#endif
