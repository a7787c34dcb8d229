// Connects the request engine to clients and targets over the event loop.
#ifndef KUMQUATRAMP_HOST_FRONT_SERVICE_HPP
#define KUMQUATRAMP_HOST_FRONT_SERVICE_HPP

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <base/clock.hpp>
#include <eventloop/http_server.hpp>
#include <eventloop/memory_ledger.hpp>
#include <eventloop/upstream_pool.hpp>
#include <host/service_counters.hpp>
#include <host/wire_profile.hpp>
#include <memory>
#include <serving/client_answer.hpp>
#include <serving/engine_port.hpp>
#include <serving/request_engine.hpp>
#include <string>
#include <unordered_map>

namespace kumquatramp::eventloop
{
struct http_message;
struct process_budget;
} // namespace kumquatramp::eventloop

namespace kumquatramp::host
{

class host_log;

/// Passes client requests to the engine, sends the engine's attempts to
/// targets, and returns its answers to the clients.
class front_service final : public eventloop::request_handler,
                            public eventloop::upstream_client,
                            public serving::engine_port
{
public:
    front_service(asio::io_context& loop, clock const& time,
                  wire_profile const& wire, serving::serving_options options,
                  random_source& random, serving::target_table& targets,
                  serving::fleet_size const& fleet,
                  serving::warmup_share& warmup, host_log& log,
                  eventloop::process_budget& budget);
    ~front_service() override;

    serving::request_engine& engine() { return engine_; }
    eventloop::http_server& server() { return server_; }
    eventloop::upstream_pool& pool() { return pool_; }
    service_counters const& counters() const { return counters_; }
    /// Number of requests whose head and body are held.
    std::size_t held_requests() const { return exchanges_.size(); }
    /// Number of attempts that have not ended.
    std::size_t open_attempts() const { return sends_.size(); }

    /// Refuses all new requests from now on, because this host is about to
    /// exit.
    void refuse_new_requests() { refusing_requests_ = true; }

    /// Answers all requests by `end`, because this host exits soon after it.
    void end_by(time_point end);

    /// Enforces the time limits of connections and notices when the event loop
    /// was held up. To be called about ten times per second.
    void sweep();

    // request_handler: calls from client connections.
    void on_request(eventloop::exchange_id exchange,
                    eventloop::http_message& message) override;
    void on_client_disconnected(eventloop::exchange_id exchange) override;
    std::string rejection(error_kind kind) override;

    // upstream_client: calls from target connections.
    eventloop::outgoing_request
    serialize_request(serving::attempt_handle attempt) override;
    bool matches_request(serving::attempt_handle attempt,
                         eventloop::http_message const& answer) override;
    void on_end(serving::attempt_handle attempt,
                eventloop::send_outcome outcome,
                eventloop::http_message* answer, char const* cause,
                serving::connection_id connection) override;
    void on_connected(serving::target const& to) override;
    void on_connect_failed(serving::target const& to) override;

    // engine_port: calls from the engine.
    void start_attempt(serving::attempt_order const& order) override;
    void abandon_attempt(serving::attempt_handle attempt) override;
    void answer(serving::request_handle request,
                serving::client_answer answer) override;
    void log_request(serving::request_handle request,
                     serving::request_summary const& summary) override;
    void release_request(serving::request_handle request) override;

private:
    struct exchange_state;
    /// One attempt that was handed to the pool.
    struct send_state
    {
        serving::request_handle request = 0;
        std::string request_id;
        std::string instance;
        time_point deadline = never;
        time_point sent_at{};
    };

    /// Answers a request that the engine does not get, and closes its
    /// connection.
    void refuse_unsubmitted(eventloop::exchange_id exchange,
                            std::string const& id, error_kind kind,
                            std::optional<duration> retry_after);
    /// Charges a request to the ledger. Returns false if there is no room.
    bool account(exchange_state& exchange);
    /// Retry-After of a request that is refused for lack of memory.
    duration memory_retry_after();
    /// Whether the client's close may stand unread behind its request.
    bool may_have_left(time_point now) const;
    /// Accounts for what the engine holds, and arms the timer for its next
    /// event.
    void after_engine_call();
    serving::target_reply parse_reply(eventloop::send_outcome outcome,
                                      eventloop::http_message* answer,
                                      char const* cause) const;
    std::string serialize_relayed(exchange_state const& exchange);
    std::string serialize_merged(serving::client_answer const& answer) const;
    std::string serialize_error(error_kind kind,
                                std::optional<duration> retry_after,
                                bool close) const;

    clock const& time_;
    wire_profile const& wire_;
    host_log& log_;
    random_source& random_;
    serving::target_table& targets_;
    service_counters counters_;
    eventloop::memory_ledger& memory_;
    eventloop::memory_charge engine_charge_; ///< what the engine holds
    eventloop::http_server server_;
    eventloop::upstream_pool pool_;
    serving::request_engine engine_;
    asio::steady_timer timer_;
    time_point armed_for_ = never; // when timer_ expires, or never
    bool refusing_requests_ = false;
    time_point last_sweep_{};
    /// The event loop was held up: until then clients may have left unnoticed.
    time_point check_clients_until_{};
    /// Requests that the engine has not released.
    std::unordered_map<serving::request_handle, std::unique_ptr<exchange_state>>
        exchanges_;
    std::unordered_map<serving::attempt_handle, send_state> sends_;
    // The answer and reply that the engine is processing; null outside on_end.
    eventloop::http_message* current_answer_ = nullptr;
    serving::target_reply* current_reply_ = nullptr;
};

} // namespace kumquatramp::host

#endif
