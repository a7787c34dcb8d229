// Connects a node to the clock, timers, network clients and callers.
#ifndef KUMQUATRAMP_TRANSPORT_NODE_DRIVER_HPP
#define KUMQUATRAMP_TRANSPORT_NODE_DRIVER_HPP

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <atomic>
#include <base/clock.hpp>
#include <base/random_source.hpp>
#include <functional>
#include <memory>
#include <node/node.hpp>
#include <transport/caller_service.hpp>
#include <transport/peer_client.hpp>
#include <transport/peer_events.hpp>
#include <transport/platform_client.hpp>
#include <transport/platform_events.hpp>
#include <transport/request_metrics.hpp>
#include <transport/target_client.hpp>
#include <transport/target_events.hpp>
#include <transport/waiting_calls.hpp>

namespace kumquatramp
{

class event_log;

/// Dependencies of a driver; all must outlive it.
struct driver_context
{
    asio::io_context& io; ///< timer, callers and targets; run by one thread
    clock const& time;
    random_source& random;
    signer const& key;
    event_log& log;
};

/// Owns the node, passes events to it and executes the actions that it returns.
/// Thread-safe.
class node_driver final : public caller_service,
                          public target_events,
                          public platform_events,
                          public peer_events
{
public:
    node_driver(node_options options, socket_address const& platform,
                driver_context context);
    ~node_driver() override;

    /// Starts the node. `on_finished` is called once, on the io_context's
    /// thread, when a graceful shutdown has completed.
    void start(std::function<void()> on_finished);

    /// Starts a graceful shutdown.
    void shut_down();

    /// Closes all connections and joins the threads that call the platform
    /// and peers.
    void stop();

    node const& hosted_node() const { return node_; }
    request_metrics const& metrics() const { return metrics_; }
    time_point now() const { return context_.time.now(); }

    // caller_service
    query_number run(caller_request request, std::string trace,
                     answer_handler done) override;
    void caller_disconnected(query_number number) override;
    result<std::string> issue_request_id() override;
    result<request_id> decode_request_id(std::string_view text) override;
    result<request_outcome> outcome_of(request_id const& id) override;
    void cancel(request_id const& id) override;
    result<discovery_answer>
    discover(discovery_request const& request) override;
    bool ready() override;
    duration request_id_lifetime() const override;
    std::string new_trace() override;

    // target_events
    bool may_send(attempt_id const& id) override;
    void on_target_reply(target_reply reply) override;
    void on_connection_lost(target_name const& target) override;

    // platform_events
    void on_platform_value(config_key key, config_version version,
                           std::optional<std::string_view> text,
                           time_point asked) override;
    void on_platform_failed(config_key key) override;

    // peer_events
    peer_digest on_peer_digest(peer_digest const& digest) override;
    config_update on_fetch(config_key key, config_stamp held) override;
    grant_answer on_grant_request(target_name const& target) override;
    void on_grant_report(grant_report const& report) override;
    void on_grant_answer(member_entry const& peer, target_name const& target,
                         grant_answer const& answer, time_point asked) override;
    void on_peer_answer(peer_digest const& digest, time_point asked) override;
    void on_config_update(host_name const& peer,
                          config_update const& update) override;
    void on_peer_failed(host_name const& peer) override;

private:
    template <class Event>
    void process_event(Event event);
    void execute_actions(action_list& actions);
    void execute(send_attempt& wanted);
    void execute(cancel_attempt& wanted);
    void execute(answer_caller& wanted);
    void execute(exchange_digest& wanted);
    void execute(fetch_config& wanted);
    void execute(read_platform& wanted);
    void execute(set_connections& wanted);
    void execute(ask_grant& wanted);
    void execute(report_grant& wanted);
    void execute(finish_shutdown& wanted);
    void arm_timer();
    void set_timer(time_point due);
    void tick();
    void record_answer(waiting_call const& call, request_answer const& answer);

    driver_context const context_;
    duration const id_lifetime_;
    node node_;
    request_metrics metrics_;
    waiting_calls waiting_;
    std::atomic<std::uint64_t> next_number_{1};
    std::atomic<time_point::rep> armed_deadline_;
    asio::steady_timer timer_; // used on the io_context's thread only
    std::function<void()> on_finished_;
    std::atomic<bool> finished_{false};
    platform_client platform_;
    peer_client peers_;
    target_client targets_;
};

} // namespace kumquatramp

#endif
