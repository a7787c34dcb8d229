// Constructs the components of one host and runs its periodic work.
#include "gossip_codec.hpp"
#include "query_host_details.hpp"
#include "settings_conversion.hpp"
#include <csignal>
#include <eventloop/socket_options.hpp>
#include <fmt/format.h>
#include <unistd.h>

namespace kumquatramp::host
{

namespace
{

/// After a suspension of at least this length, an open call to the store may
/// have been lost.
constexpr duration suspension_threshold = 500ms;

/// Connections to readiness, directory and control: one in this many sockets
/// each, so that they leave room for clients' requests.
constexpr std::size_t endpoint_socket_part = 8;

/// Share of the drain bound for which changes of the store may be batched.
constexpr double change_interval_share = 0.12;

registry::follower_options to_follower_options(host_settings const& settings)
{
    return {.contact_bound = settings.contact_bound,
            .min_change_interval = std::chrono::duration_cast<duration>(
                settings.drain_bound * change_interval_share)};
}

/// How long a target whose entry was removed stays usable as a last resort: the
/// rest of the drain bound once the removal has arrived from the store.
duration unlisted_hold(host_settings const& settings, duration sweep_interval)
{
    return std::max<duration>(settings.drain_bound - sweep_interval -
                                  registry::store_follower::change_bound(
                                      to_follower_options(settings)),
                              duration::zero());
}

std::uint64_t unix_ms()
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count());
}

} // namespace

query_host::details::details(host_settings settings, std::string path,
                             platform_adapter& adapter)
    : settings_(std::move(settings))
    , path_(std::move(path))
    , adapter_(adapter)
    , budget_{.memory =
                  eventloop::memory_ledger(request_memory(settings_.machine)),
              .sockets =
                  eventloop::socket_budget(socket_count(settings_.machine))}
    , log_(STDOUT_FILENO, settings_.name, time_)
    , fleet_({.ip = settings_.ip,
              .zone = settings_.zone,
              .incarnation = unix_ms(),
              .weight = static_cast<std::uint32_t>(settings_.cpu_share * 1000)},
             extract_ips(settings_.seeds), random_, log_, time_.now())
    , targets_(settings_.zone, unlisted_hold(settings_, sweep_interval),
               random_, log_)
    , warmup_(settings_.ip)
    , front_(loop_, time_, adapter.wire(),
             to_serving_options(settings_, started_), random_, targets_, fleet_,
             warmup_, log_, budget_)
    , readiness_(loop_, time_, budget_,
                 [this](auto method, auto target)
                 { return answer_readiness(method, target); })
    , directory_(loop_, time_, budget_,
                 [this](auto method, auto target)
                 { return answer_directory(method, target); })
    , control_(loop_, time_, budget_,
               [this](auto method, auto target)
               { return answer_control(method, target); })
    , store_(adapter.connect_store(
                 loop_, settings_.store,
                 {.era = [this](std::uint64_t era) { follower_.on_era(era); },
                  .answered =
                      [this](registry::store_answer const& a)
                  {
                      store_.on_call_ended();
                      follower_.on_answer(a, time_.now());
                      log_.set_store_position(follower_.position());
                      tick_store_follower();
                  },
                  .failed =
                      [this](registry::store_failure f, char const* cause)
                  {
                      store_.on_call_ended();
                      follower_.on_failure(f, cause, time_.now());
                      tick_store_follower();
                  }}),
             time_)
    , follower_(to_follower_options(settings_), store_, *this, random_, log_)
    , signals_(loop_, SIGTERM, SIGHUP)
    , sweep_timer_(loop_)
    , gossip_timer_(loop_)
{
}

void query_host::details::listen()
{
    for (auto* const e : {&readiness_, &directory_, &control_})
    {
        e->set_max_connections(socket_count(settings_.machine) /
                               endpoint_socket_part);
    }
    front_.server().listen(eventloop::parse_endpoint(settings_.clients));
    if (!settings_.readiness.empty())
    {
        readiness_.listen(settings_.readiness);
    }
    if (!settings_.directory.empty())
    {
        directory_.listen(settings_.directory);
    }
    if (!settings_.control.empty())
    {
        control_.listen(settings_.control);
    }
    asio::ip::udp::endpoint const own(asio::ip::make_address(settings_.ip),
                                      settings_.gossip_port);
    gossip_socket_.emplace(loop_, own,
                           [this](auto sender, auto bytes)
                           { handle_message(sender, bytes); });
}

int query_host::details::run()
{
    std::signal(SIGPIPE, SIG_IGN);
    listen();
    log_.note("host.started", settings_.name,
              "zone " + settings_.zone + ", clients at " + settings_.clients);
    await_signal();
    schedule_periodic(sweep_timer_, sweep_interval, &details::sweep);
    schedule_periodic(gossip_timer_, fleet::fleet_view::protocol_period,
                      &details::gossip);
    follower_.pause();
    update_serving_role(time_.now());
    gossip();
    loop_.run();
    log_.note("host.stopped", settings_.name, "shutdown complete");
    log_.flush();
    return 0;
}

void query_host::details::schedule_periodic(asio::steady_timer& timer,
                                            duration pause,
                                            void (details::*step)())
{
    timer.expires_after(pause);
    timer.async_wait(
        [this, &timer, pause, step](asio::error_code const& cancelled)
        {
            if (!cancelled)
            {
                (this->*step)();
                schedule_periodic(timer, pause, step);
            }
        });
}

void query_host::details::sweep()
{
    time_point const now = time_.now();
    duration const suspended = eventloop::boot_clock::suspended();
    if (suspended - suspended_ >= suspension_threshold)
    {
        log_.note(
            "host.resumed", settings_.name,
            fmt::format("suspended for {} ms", (suspended - suspended_) / 1ms));
        follower_.restart(now);
        fleet_.forgive_silence(now);
    }
    suspended_ = suspended;
    measure_lateness(now);
    targets_.tick(now);
    front_.engine().tick(now);
    front_.sweep();
    readiness_.sweep();
    directory_.sweep();
    control_.sweep();
    watch_budget();
    tick_store_follower();
    check_settings(now);
    check_shutdown(now);
    update_serving_role(now);
    fleet_.set_ready(ready());
    log_.flush();
}

void query_host::details::watch_budget()
{
    auto const& memory = budget_.memory;
    bool const memory_short =
        memory_short_ ? memory.shortage() > 0 : memory.is_short();
    if (memory_short != memory_short_)
    {
        memory_short_ = memory_short;
        log_.note(memory_short ? "memory.short" : "memory.enough",
                  settings_.name,
                  fmt::format("{} of {} bytes for requests in use, {} requests "
                              "refused so far",
                              memory.used(), memory.capacity(),
                              front_.server().memory_refusals()));
    }
    bool const sockets_short = budget_.sockets.client_shortage() > 0;
    if (sockets_short != sockets_short_)
    {
        sockets_short_ = sockets_short;
        log_.note(sockets_short ? "sockets.short" : "sockets.enough",
                  settings_.name,
                  fmt::format("{} sockets open, {} client connections refused "
                              "and {} closed so far",
                              budget_.sockets.open(),
                              front_.server().refused_connections(),
                              front_.server().closed_for_room()));
    }
}

void query_host::details::tick_store_follower()
{
    follower_.tick(time_.now());
}

void query_host::details::gossip()
{
    send(fleet_.tick(time_.now()));
}

void query_host::details::send(
    std::vector<fleet::outgoing_message> const& messages)
{
    for (auto const& m : messages)
    {
        gossip_socket_->send(m.to, encode_message(m.message));
    }
}

void query_host::details::handle_message(std::string_view sender,
                                         std::string_view bytes)
{
    auto const message = decode_message(bytes);
    if (!message)
    {
        log_.note("gossip.unreadable", sender, message.error().detail);
        return;
    }
    send(fleet_.handle_message(std::string(sender), message.value(),
                               time_.now()));
}

query_host::query_host(host_settings settings, std::string path,
                       platform_adapter& adapter)
    : details_(std::make_unique<details>(std::move(settings), std::move(path),
                                         adapter))
{
}

query_host::~query_host() = default;

int query_host::run()
{
    return details_->run();
}

} // namespace kumquatramp::host
