// Serves clients' requests: chooses targets, hedges, retries, merges, answers.
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

/// A client's request as far as decisions need it; the driver keeps the bytes.
struct client_request
{
    request_handle handle = 0;
    std::string_view host;
    std::string_view path; ///< may carry a query
    duration time_left{};  ///< what the client will still wait; 0: not said
};

/// Decisions on requests under a clock that the driver hands in. Each request
/// gets exactly one answer, at the latest at its deadline. A request that may
/// not be repeated is sent again only if it certainly did not run.
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

    /// A version that is not newer than the one in force is ignored.
    bool set_catalogue(std::shared_ptr<route_catalogue const> catalogue);
    route_catalogue const* catalogue() const;
    void set_options(serving_options const& options);

    void submit(client_request const& request, time_point now);

    /// The client has left: its repeatable work is broken off.
    void client_gone(request_handle request, time_point now);

    /// Takes the reply by reference; a relayed answer is read from it by the
    /// driver inside engine_port::answer.
    void on_reply(attempt_handle attempt, target_reply& reply, time_point now);

    /// Whether the first byte of this attempt may leave now.
    bool may_send(attempt_handle attempt, time_point now) const;

    void tick(time_point now);
    time_point next_due() const;

    std::size_t in_progress() const;
    engine_counters const& counters() const;

    /// The least that any service's retry budget leaves, in sends; nothing
    /// before the first request.
    std::optional<double> least_budget_left(time_point now);

private:
    class details;
    std::unique_ptr<details> details_;
};

} // namespace kumquatramp::serving

#endif
