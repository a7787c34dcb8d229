// Client that sends sub-requests to targets.
#ifndef KUMQUATRAMP_TRANSPORT_TARGET_CLIENT_HPP
#define KUMQUATRAMP_TRANSPORT_TARGET_CLIENT_HPP

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <base/clock.hpp>
#include <eventloop/upstream_pool.hpp>
#include <map>
#include <memory>
#include <node/actions.hpp>
#include <node/target_reply.hpp>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

namespace kumquatramp
{

class target_events;

/// Keeps persistent connections to each target's address, all on one event
/// loop. Methods are thread-safe; events are delivered on the loop's thread.
///
///     target_client client(events, time, loop);
///     client.set_connections({target_name{"t"}, "10.0.0.5:80", 8, 1});
///     client.send(attempt, trace); // one on_target_reply follows
class target_client final : private eventloop::upstream_client
{
public:
    /// All references must outlive the client, and the client must outlive the
    /// loop's run().
    target_client(target_events& events, clock const& time,
                  asio::io_context& loop);
    ~target_client() override;

    /// Sends a sub-request. Exactly one reply follows through the events.
    void send(send_attempt attempt, std::string trace);

    /// Cancels a send. A queued one is not sent. If it has been sent, the
    /// target receives a cancel request, and the connection is closed if the
    /// target has not answered after a short grace period.
    void cancel(attempt_id const& id);

    void set_connections(kumquatramp::set_connections const& wanted);

    /// Closes all connections; later sends end as not_sent.
    void stop();

private:
    using handle = serving::attempt_handle;

    /// A send in progress, or the cancel request of one.
    struct pending_send
    {
        send_attempt attempt;
        std::string trace;
        std::shared_ptr<serving::target> to;
        time_point expires = never;
        bool withdrawal = false; ///< a cancel request, not an execution
        bool withdrawn = false;
        bool timed_out = false;
        std::optional<target_reply> answer{};
    };

    struct target_endpoint
    {
        std::shared_ptr<serving::target> to;
        target_name name;
        int limit = 1;
    };

    // upstream_client
    eventloop::outgoing_request serialize_request(handle attempt) override;
    bool matches_request(handle attempt,
                         eventloop::http_message const& answer) override;
    void on_end(handle attempt, eventloop::send_outcome outcome,
                eventloop::http_message* answer, char const* cause,
                serving::connection_id connection) override;
    void on_connection_lost(serving::target const& to) override;

    target_endpoint& endpoint_for(std::string const& address,
                                  target_name const& name);
    void start(send_attempt attempt, std::string trace);
    void withdraw(attempt_id const& id);
    void keep(kumquatramp::set_connections const& wanted);
    void launch(pending_send wanted, int limit);
    void refuse(attempt_id const& id);
    void set_expiry(handle attempt, pending_send& pending, time_point at);
    void arm_expiry_timer();
    void expire();
    void schedule_sweep();

    target_events& events_;
    clock const& time_;
    asio::io_context& loop_;
    asio::steady_timer expiry_timer_;
    asio::steady_timer sweep_timer_;
    // The members below are used on the loop's thread only.
    eventloop::upstream_pool pool_;
    bool stopped_ = false;
    handle last_handle_ = 0;
    std::unordered_map<std::string, target_endpoint> endpoints_; // by address
    std::unordered_map<handle, pending_send> pending_sends_;
    std::map<attempt_id, handle> handles_; // of sends, not of cancel requests
    std::set<std::pair<time_point, handle>> expiries_;
};

} // namespace kumquatramp

#endif
