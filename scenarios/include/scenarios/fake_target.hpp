// Simulated target: execution slots, queue, cold start and injected faults.
#ifndef KUMQUATRAMP_SCENARIOS_FAKE_TARGET_HPP
#define KUMQUATRAMP_SCENARIOS_FAKE_TARGET_HPP

#include <base/seeded_random.hpp>
#include <deque>
#include <functional>
#include <map>
#include <node/target_reply.hpp>
#include <scenarios/event_queue.hpp>
#include <scenarios/run_log.hpp>
#include <scenarios/target_behaviour.hpp>
#include <string>

namespace kumquatramp::scenarios
{

/// A sub-request as the target receives it.
struct target_call
{
    attempt_id id;
    shard_index shard;
    snapshot_id snapshot; ///< index 0: latest index of the map
    std::string request_id;
    std::string body;
    time_point deadline;
    std::function<void(target_reply)> reply; ///< called at most once
};

class fake_target
{
public:
    fake_target(event_queue& queue, run_log& log, target_name name,
                target_behaviour behaviour, std::uint64_t seed);

    target_name const& name() const noexcept { return name_; }
    target_behaviour& behaviour() noexcept { return behaviour_; }

    void receive(target_call call);
    void cancel(attempt_id const& id);

    /// Drops all executing and queued work without replies and enters cold
    /// start.
    void restart();

    /// Enters cold start; connections and work in flight are kept.
    void start_cold();

    /// Incremented by each restart; a connection belongs to one generation.
    std::uint32_t generation() const noexcept { return generation_; }

    /// Returns false if the connection limit is reached.
    bool open_connection();
    void close_connection(std::uint32_t generation);

    std::uint64_t executed() const noexcept { return executed_; }

private:
    struct work_item
    {
        target_call call;
        snapshot_id snapshot;
    };

    bool cold() const { return served_ < behaviour_.warm_after; }
    std::uint32_t slots() const;
    std::optional<snapshot_id> resolve_snapshot(target_call const& call) const;
    bool overrun();
    void start(work_item work);
    void finish(std::uint64_t number, std::uint32_t generation);
    void start_next();
    void answer(work_item const& work, attempt_outcome outcome);
    void inject_fault(target_reply& reply);
    duration draw_service_time();

    event_queue& queue_;
    run_log& log_;
    target_name const name_;
    target_behaviour behaviour_;
    seeded_random random_;
    std::map<std::uint64_t, work_item> running_; ///< executing, by number
    std::deque<work_item> waiting_;
    std::uint64_t next_number_ = 0;
    std::uint32_t served_;
    std::uint32_t generation_ = 0;
    std::uint32_t connections_ = 0; ///< open in the current generation
    std::uint64_t executed_ = 0;
    time_point overrun_until_{};
};

} // namespace kumquatramp::scenarios

#endif
