// Executes a node's actions over the simulated network, targets and platform,
// in place of the daemon.
#ifndef KUMQUATRAMP_SCENARIOS_HOST_DRIVER_HPP
#define KUMQUATRAMP_SCENARIOS_HOST_DRIVER_HPP

#include <base/seeded_random.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <node/node.hpp>
#include <scenarios/event_queue.hpp>
#include <scenarios/run_parts.hpp>
#include <scenarios/target_link.hpp>
#include <unordered_map>

namespace kumquatramp::scenarios
{

/// One host. Each start creates a new node with a new incarnation. While the
/// host is frozen its events are held back; after the freeze they run with the
/// clock advanced by its length. Each host's clock has a constant offset of its
/// own from the virtual time.
class host_driver
{
public:
    using answer_function = std::function<void(request_answer const&)>;

    host_driver(run_parts const& parts, node_options options,
                duration clock_offset, std::uint64_t seed);
    ~host_driver();

    void start();

    /// Ends the host at once, without shutdown; pending requests get no answer.
    void kill();

    /// Holds back all events of the host for `time`.
    void freeze(duration time);

    /// Starts a graceful shutdown; the host ends when its node finishes it.
    void shut_down();

    bool alive() const noexcept { return node_ != nullptr; }
    bool frozen() const noexcept;
    host_name const& name() const noexcept { return options_.self.name; }
    incarnation life() const noexcept { return options_.life; }

    /// Current time by this host's clock.
    time_point now() const;

    /// Null if the host is not running.
    kumquatramp::node* node() noexcept { return node_.get(); }

    /// Runs the job on the host, after a freeze if the host is frozen; drops
    /// it if the host is not running or ends first.
    void deliver(event_queue::job callback);

    /// Returns a job that delivers the callback if the host still has the same
    /// incarnation (by default the current one) when the job runs.
    event_queue::job on_host(event_queue::job callback);
    event_queue::job on_host(event_queue::job callback, incarnation life);

    /// Submits a caller's request to the node and assigns its query number.
    /// Must be called within deliver().
    void submit(caller_request request, std::uint64_t key,
                std::string const& request_id, bool fresh_hosts,
                answer_function answer);

    /// Notifies the host that a target has restarted, which breaks the
    /// connections to it.
    void on_target_restart(target_name const& target);

private:
    friend class target_link;

    using node_call = std::function<void(kumquatramp::node&, action_list&)>;

    void call_node(node_call const& call);
    void execute(action_list& actions);
    void execute(action& requested);
    void tick();
    void schedule_tick();
    void destroy_node();
    void run_backlog();

    void exchange(exchange_digest const& requested);
    void fetch(fetch_config const& requested);
    void ask(ask_grant const& requested);
    void report(report_grant const& requested);
    void read(read_platform const& requested);
    void answer(answer_caller const& requested);
    target_link& link(target_name const& target);

    run_parts const parts_;
    node_options options_;
    duration const clock_offset_;
    seeded_random random_;
    std::unique_ptr<kumquatramp::node> node_;
    std::unordered_map<target_name, std::unique_ptr<target_link>> links_;
    // Pending attempts; the pointers refer to links_.
    std::map<attempt_id, target_link*> attempts_;
    std::unordered_map<std::uint64_t, answer_function> callers_;
    std::uint64_t next_number_ = 1;
    time_point tick_due_ = never;          ///< in virtual time
    time_point frozen_until_{};            ///< in virtual time
    std::deque<event_queue::job> backlog_; ///< events held back while frozen
};

} // namespace kumquatramp::scenarios

#endif
