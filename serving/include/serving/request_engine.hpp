// Request engine: chooses targets, sends, hedges and retries requests, merges
// partial results and answers the client.
#ifndef KUMQUATRAMP_SERVING_REQUEST_ENGINE_HPP
#define KUMQUATRAMP_SERVING_REQUEST_ENGINE_HPP

#include <base/random_source.hpp>
#include <base/time.hpp>
#include <memory>
#include <optional>
#include <serving/engine_counters.hpp>
#include <serving/engine_port.hpp>
#include <serving/serving_options.hpp>
#include <serving/target_reply.hpp>
#include <string_view>

namespace kumquatramp::serving
{

class fleet_size;
class route_catalogue;
class target_table;
class warmup_share;

/// The fields of a client's request that the engine needs; the driver keeps the
/// message itself.
struct client_request
{
    request_handle handle = 0;
    std::string_view host;
    std::string_view path; ///< may contain a query string
    duration time_left{};  ///< until the client's deadline; 0: none given
};

/// Decides on requests; the driver passes in the current time. Each request
/// gets exactly one answer, at the latest at its deadline, unless its client
/// disconnects before that. A request that is not idempotent is sent again only
/// if it was certainly not executed.
///
///     request_engine engine(options, random, table, fleet, warmup, port);
///     engine.set_catalogue(catalogue);
///     engine.submit({1, "shop.example", "/find/x", 400ms}, now);
///     engine.on_reply(attempt, reply, now);
///     engine.tick(now); // at next_due() at the latest
class request_engine
{
public:
    request_engine(serving_options options, random_source& random,
                   target_table& table, fleet_size const& fleet,
                   warmup_share& warmup, engine_port& port);
    ~request_engine();

    /// Applies a configuration. Returns false and ignores it if its version is
    /// not newer than the one in force, or older than one that was withdrawn.
    bool set_catalogue(std::shared_ptr<route_catalogue const> catalogue);
    /// Ends the use of the configuration, because it is no longer kept up to
    /// date. New requests are refused until the next set_catalogue.
    void withdraw_catalogue();
    /// The registry has answered: the configuration in force is the newest.
    void confirm_catalogue(time_point now);
    /// The configuration in force, or null before the first one.
    route_catalogue const* catalogue() const;
    /// Applies changed settings, also to the retry budgets in use.
    void set_options(serving_options const& options);
    /// This host exits soon after `end`: all requests get their answer by then,
    /// and those that cannot be expected to end before it are refused.
    void end_by(time_point end);

    /// Admits or refuses a request.
    void submit(client_request const& request, time_point now);

    /// The client has disconnected: ends the request without an answer. Its
    /// attempts are cancelled if it is idempotent, otherwise they run to their
    /// end.
    void client_gone(request_handle request, time_point now);

    /// Handles the end of an attempt. If the reply is relayed, the driver reads
    /// it from `reply` inside engine_port::answer.
    void on_reply(attempt_handle attempt, target_reply& reply, time_point now);

    /// Whether this attempt may still be written to its connection.
    bool may_send(attempt_handle attempt, time_point now) const;

    /// Handles the timers that are due.
    void tick(time_point now);
    /// Time of the next timer, or `never`.
    time_point next_due() const;

    std::size_t in_progress() const;
    /// Memory that requests in progress hold here: their state, an estimate,
    /// and the parts that wait for their merge.
    std::size_t held_bytes() const;
    engine_counters const& counters() const;

    /// The smallest remaining retry budget of all services, in sends; empty
    /// before the first request.
    std::optional<double> least_budget_left(time_point now);

private:
    class details;
    std::unique_ptr<details> details_;
};

} // namespace kumquatramp::serving

#endif
