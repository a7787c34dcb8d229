// Simulates the execution slots, queue and cold start of one stand-in target.
#ifndef KUMQUATRAMP_STANDINS_TARGET_EXECUTION_SLOTS_HPP
#define KUMQUATRAMP_STANDINS_TARGET_EXECUTION_SLOTS_HPP

#include <base/seeded_random.hpp>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <set>
#include <standins/target/target_settings.hpp>
#include <string>

namespace kumquatramp::standins
{

using steady_time_point = std::chrono::steady_clock::time_point;

/// The result of a request for an execution slot.
enum class admission_verdict
{
    admitted,
    draining,  ///< refused while draining; not run
    shed,      ///< queue full, or no slot by the deadline; not run
    collapsed, ///< overloaded while cold; fails every execution
};

enum class execution_outcome
{
    done,
    cancelled,
    late, ///< the deadline passed before it finished
};

/// The state of the target when an execution asked for a slot.
struct admitted_execution
{
    admission_verdict verdict = admission_verdict::shed;
    bool cold = false;
    std::uint32_t in_flight = 0; ///< executing and waiting, this one included
};

/// Thread-safe.
class execution_slots
{
public:
    explicit execution_slots(target_settings settings);

    /// Acquires a slot, waiting in the queue no longer than the deadline.
    /// Only an admitted execution holds a slot.
    admitted_execution acquire_slot(steady_time_point deadline);

    /// Blocks for a randomly drawn service time, multiplied by the straggle
    /// factor for a share of the executions. An execution that is not
    /// idempotent ignores cancellation and the deadline.
    execution_outcome simulate_execution(std::string const& attempt,
                                         bool idempotent,
                                         steady_time_point deadline);

    void release_slot();

    void cancel(std::string const& attempt);

    void apply_settings(target_settings const& settings);
    target_settings settings() const;

    /// Executions that hold a slot, and those that wait for one.
    std::uint32_t busy() const;
    std::uint32_t waiting() const;

    /// A random number in [0, 1), used to inject faults.
    double random() { return random_.unit(); }

private:
    bool cold() const;
    std::uint32_t usable_slots() const;
    std::chrono::nanoseconds draw_service_time();

    seeded_random random_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    // All members below are guarded by mutex_.
    target_settings settings_;
    std::uint32_t served_ = 0; ///< executions since the last restart
    std::uint32_t busy_ = 0;
    std::uint32_t waiting_ = 0;
    steady_time_point collapsed_until_{};
    std::set<std::string> cancelled_;
};

} // namespace kumquatramp::standins

#endif
