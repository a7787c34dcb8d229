// Sends sub-requests to targets.
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

/// Kept connections to each target's address, all on one event loop. Methods
/// may be called from any thread; events come on the loop's.
///
///     target_client client(events, time, loop);
///     client.set_connections({target_name{"t"}, "10.0.0.5:80", 8, 1});
///     client.send(attempt, trace); // one on_target_reply follows
class target_client final : private eventloop::upstream_client
{
public:
    /// All references must outlive the client, and the client the loop's run.
    target_client(target_events& events, clock const& time,
                  asio::io_context& loop);
    ~target_client() override;

    /// Sends; exactly one reply follows over the events.
    void send(send_attempt attempt, std::string trace);

    /// Withdraws a send: one that waits is not sent; of one that has left,
    /// the target is told, and a moment later its connection is closed.
    void cancel(attempt_id const& id);

    void set_connections(kumquatramp::set_connections const& wanted);

    /// Cuts all connections; what is sent afterwards is not sent.
    void stop();

private:
    using handle = serving::attempt_handle;

    /// A send on its way, or a withdrawal of one.
    struct sending
    {
        send_attempt attempt;
        std::string trace;
        std::shared_ptr<serving::target> to;
        time_point expires = never;
        bool withdrawal = false; ///< tells the target that the attempt is
                                 ///< no longer wanted
        bool withdrawn = false;
        bool timed_out = false;
        std::optional<target_reply> answer{};
    };

    struct lane
    {
        std::shared_ptr<serving::target> to;
        target_name name;
        int limit = 1;
    };

    // upstream_client
    std::string request_bytes(handle attempt) override;
    bool matches_request(handle attempt,
                         eventloop::http_message const& answer) override;
    void on_end(handle attempt, eventloop::send_outcome outcome,
                eventloop::http_message* answer, char const* cause) override;
    void on_connection_lost(serving::target const& to) override;

    lane& lane_to(std::string const& address, target_name const& name);
    void start(send_attempt attempt, std::string trace);
    void withdraw(attempt_id const& id);
    void keep(kumquatramp::set_connections const& wanted);
    void launch(sending wanted, int limit);
    void refuse(attempt_id const& id);
    void set_expiry(handle attempt, sending& s, time_point at);
    void arm();
    void expire();
    void tend();

    target_events& events_;
    clock const& time_;
    asio::io_context& loop_;
    asio::steady_timer expiry_;
    asio::steady_timer sweep_;
    // All below belong to the loop's thread.
    eventloop::upstream_pool pool_;
    bool stopped_ = false;
    handle last_handle_ = 0;
    std::unordered_map<std::string, lane> lanes_; // by address
    std::unordered_map<handle, sending> sendings_;
    std::map<attempt_id, handle> handles_; // of sends, not of withdrawals
    std::set<std::pair<time_point, handle>> expiries_;
};

} // namespace kumquatramp

#endif
