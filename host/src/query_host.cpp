// Composes one host.
#include "endpoint.hpp"
#include "gossip_codec.hpp"
#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <base/seeded_random.hpp>
#include <csignal>
#include <eventloop/boot_clock.hpp>
#include <eventloop/datagram_port.hpp>
#include <eventloop/socket_options.hpp>
#include <fleet/fleet_view.hpp>
#include <fmt/format.h>
#include <host/front_service.hpp>
#include <host/host_log.hpp>
#include <host/platform_adapter.hpp>
#include <host/query_host.hpp>
#include <optional>
#include <random>
#include <registry/store_follower.hpp>
#include <registry/store_sink.hpp>
#include <serving/target_book.hpp>
#include <serving/warmup_share.hpp>
#include <set>
#include <sys/stat.h>
#include <unistd.h>

namespace kumquatramp::host
{

namespace
{

/// Time limits of connections are checked this often.
constexpr duration sweep_every = 100ms;
constexpr duration settings_check_every = 2s;
/// A suspension longer than this makes the store's connection doubtful.
constexpr duration notable_suspension = 500ms;

/// Life of a directory answer: short enough that clients leave a host that is
/// shutting down before it ends.
constexpr duration directory_lifetime = 2s;

/// A host leaves the serving set's work only after this time outside it:
/// longer than clients keep a directory answer, and than a host is away over
/// a restart.
constexpr duration standby_after = 15s;
/// A host whose timers are late by so much calls itself busy: work waits for
/// the processor. Below the second figure it does not any more.
constexpr double busy_ms = 20;
constexpr double idle_ms = 6;
/// Weight of one timer: about the last two seconds count.
constexpr double lateness_gain = 0.05;

/// After SIGTERM clients still come for the directory's lifetime.
constexpr duration farewell = 2900ms;
/// Kept back from the grace: for the exit, and for requests taken in last.
constexpr duration exit_margin = 700ms;
constexpr duration last_requests = 500ms;

/// Shares of the bound on draining: how long changes may be collected, and how
/// long a target whose entry has gone stays a last resort. Their sum leaves
/// time for the way from the store.
constexpr double pace_share = 0.12;
constexpr double unlisted_share = 0.7;

duration scaled(duration whole, double share)
{
    return std::chrono::duration_cast<duration>(whole * share);
}

std::string ip_of(std::string const& address)
{
    return address.substr(0, address.rfind(':'));
}

std::vector<std::string> ips_of(std::vector<std::string> const& addresses)
{
    std::vector<std::string> ips;
    ips.reserve(addresses.size());
    for (auto const& a : addresses)
    {
        ips.push_back(ip_of(a));
    }
    return ips;
}

std::uint64_t unix_ms()
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count());
}

serving::serving_options options_of(host_settings const& s, time_point started)
{
    serving::serving_options o;
    o.started = started;
    o.told_share = s.told_share;
    o.retry_ratio = s.retry_ratio;
    o.retry_slack = s.retry_slack;
    o.retry_window = s.retry_window;
    return o;
}

} // namespace

class query_host::details final : public registry::store_sink
{
public:
    details(host_settings settings, std::string path,
            platform_adapter& adapter);

    int run();

    void begin_listing() override;
    void apply(registry::store_item const& item, time_point now) override;
    void end_listing(time_point now) override;

private:
    void take(serving::catalogue_data data);
    void listen();
    void every(asio::steady_timer& timer, duration pause,
               void (details::*step)());
    void sweep();
    void follow_store();
    void gossip();
    void send(std::vector<fleet::outgoing_message> const& messages);
    void hear(std::string_view sender, std::string_view bytes);
    void await_signal();
    void begin_shutdown();
    void check_shutdown(time_point now);
    void check_duty(time_point now);
    void measure_lateness(time_point now);
    void check_settings(time_point now);
    void reload(char const* why);
    endpoint_answer answer_readiness(std::string_view method,
                                     std::string_view target);
    endpoint_answer answer_directory(std::string_view method,
                                     std::string_view target);
    endpoint_answer answer_control(std::string_view method,
                                   std::string_view target);
    std::string metrics();
    bool ready();

    host_settings settings_;
    std::string path_;
    platform_adapter& adapter_;
    eventloop::boot_clock time_;
    time_point started_ = time_.now();
    asio::io_context loop_{1};
    seeded_random random_{std::random_device{}()};
    host_log log_;
    fleet::fleet_view fleet_;
    serving::target_book book_;
    serving::warmup_share warmup_;
    front_service front_;
    endpoint readiness_;
    endpoint directory_;
    endpoint control_;
    std::unique_ptr<registry::store_port> store_;
    registry::store_follower follower_;
    std::optional<eventloop::datagram_port> port_;
    asio::signal_set signals_;
    asio::steady_timer sweep_timer_;
    asio::steady_timer gossip_timer_;

    // What the present listing of the store has named so far.
    std::set<std::string, std::less<>> listed_;
    std::set<std::string> listed_zones_;

    bool serving_ = false;     ///< takes clients; otherwise stands by
    time_point last_needed_{}; ///< when it last belonged to the set
    time_point last_sweep_{};
    double lateness_ms_ = 0; ///< of the sweep's timer, smoothed

    duration suspended_ = eventloop::boot_clock::suspended();
    std::optional<time_point> leaving_since_;
    time_point settings_checked_{};
    timespec settings_changed_{};
    ino_t settings_file_ = 0;
};

query_host::details::details(host_settings settings, std::string path,
                             platform_adapter& adapter)
    : settings_(std::move(settings))
    , path_(std::move(path))
    , adapter_(adapter)
    , log_(STDOUT_FILENO, settings_.name, time_)
    , fleet_({.ip = settings_.ip,
              .zone = settings_.zone,
              .incarnation = unix_ms(),
              .weight = static_cast<std::uint32_t>(settings_.cpu_share * 1000)},
             ips_of(settings_.seeds), random_, log_, time_.now())
    , book_(settings_.zone, scaled(settings_.drain_bound, unlisted_share),
            random_, log_)
    , warmup_(settings_.ip)
    , front_(loop_, time_, adapter.wire(), options_of(settings_, started_),
             random_, book_, fleet_, warmup_, log_)
    , readiness_(loop_, time_,
                 [this](auto method, auto target)
                 { return answer_readiness(method, target); })
    , directory_(loop_, time_,
                 [this](auto method, auto target)
                 { return answer_directory(method, target); })
    , control_(loop_, time_,
               [this](auto method, auto target)
               { return answer_control(method, target); })
    , store_(adapter.connect_store(
          loop_, settings_.store,
          {.answered =
               [this](registry::store_answer const& a)
           {
               follower_.on_answer(a, time_.now());
               follow_store();
           },
           .failed =
               [this](registry::store_failure f, char const* cause)
           {
               follower_.on_failure(f, cause, time_.now());
               follow_store();
           }}))
    , follower_({.watch_wait = settings_.contact_bound,
                 .pace = scaled(settings_.drain_bound, pace_share)},
                *store_, *this, random_, log_)
    , signals_(loop_, SIGTERM, SIGHUP)
    , sweep_timer_(loop_)
    , gossip_timer_(loop_)
{
}

void query_host::details::listen()
{
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
    port_.emplace(loop_, own,
                  [this](auto sender, auto bytes) { hear(sender, bytes); });
}

int query_host::details::run()
{
    std::signal(SIGPIPE, SIG_IGN);
    listen();
    log_.note("host.started", settings_.name,
              "zone " + settings_.zone + ", clients at " + settings_.clients);
    await_signal();
    every(sweep_timer_, sweep_every, &details::sweep);
    every(gossip_timer_, fleet::fleet_view::round, &details::gossip);
    follower_.pause();
    check_duty(time_.now());
    gossip();
    loop_.run();
    log_.note("host.stopped", settings_.name, "shutdown complete");
    log_.flush();
    return 0;
}

void query_host::details::every(asio::steady_timer& timer, duration pause,
                                void (details::*step)())
{
    timer.expires_after(pause);
    timer.async_wait(
        [this, &timer, pause, step](asio::error_code const& cancelled)
        {
            if (!cancelled)
            {
                (this->*step)();
                every(timer, pause, step);
            }
        });
}

void query_host::details::sweep()
{
    time_point const now = time_.now();
    duration const suspended = eventloop::boot_clock::suspended();
    if (suspended - suspended_ >= notable_suspension)
    {
        log_.note("host.resumed", settings_.name,
                  fmt::format("after {} ms", (suspended - suspended_) / 1ms));
        follower_.restart(now);
        fleet_.forget_probes();
    }
    suspended_ = suspended;
    measure_lateness(now);
    book_.tick(now);
    front_.engine().tick(now);
    front_.sweep();
    readiness_.sweep();
    directory_.sweep();
    control_.sweep();
    follow_store();
    check_settings(now);
    check_shutdown(now);
    check_duty(now);
    fleet_.set_ready(ready());
    log_.flush();
}

void query_host::details::check_duty(time_point now)
{
    if (leaving_since_ || !fleet_.settled(now))
    {
        return;
    }
    if (fleet_.serves())
    {
        last_needed_ = now;
        if (!serving_)
        {
            serving_ = true;
            log_.note("host.serving", settings_.name,
                      "belongs to the serving set");
            follower_.resume(now);
            follow_store();
        }
        return;
    }
    if (serving_ && now - last_needed_ >= standby_after)
    {
        serving_ = false;
        follower_.pause();
        log_.note("host.standby", settings_.name,
                  "others bear the load; follows the store no more");
    }
}

void query_host::details::measure_lateness(time_point now)
{
    if (last_sweep_ != time_point{})
    {
        double const late_ms = std::chrono::duration<double, std::milli>(
                                   now - last_sweep_ - sweep_every)
                                   .count();
        lateness_ms_ += lateness_gain * (late_ms - lateness_ms_);
    }
    last_sweep_ = now;
    bool const was_busy = fleet_.self().busy;
    fleet_.set_busy(lateness_ms_ > (was_busy ? idle_ms : busy_ms));
}

void query_host::details::follow_store()
{
    follower_.tick(time_.now());
}

void query_host::details::begin_listing()
{
    listed_.clear();
    listed_zones_.clear();
}

void query_host::details::apply(registry::store_item const& item,
                                time_point now)
{
    store_change change = adapter_.decode(item);
    if (auto* unusable = std::get_if<unusable_entry>(&change))
    {
        log_.note("store.unusable_entry", item.key, unusable->why);
    }
    else if (auto* data = std::get_if<serving::catalogue_data>(&change))
    {
        take(std::move(*data));
    }
    else if (auto* record = std::get_if<serving::target_record>(&change))
    {
        listed_.insert(record->id);
        book_.put(std::move(*record), now);
    }
    else if (auto* gone = std::get_if<target_gone>(&change))
    {
        listed_.erase(gone->id);
        book_.remove(gone->id, now);
    }
    else if (auto* evacuated = std::get_if<zone_evacuated>(&change))
    {
        listed_zones_.insert(evacuated->zone);
        book_.evacuate(evacuated->zone, now);
    }
    else if (auto* restored = std::get_if<zone_restored>(&change))
    {
        listed_zones_.erase(restored->zone);
        book_.end_evacuation(restored->zone, now);
    }
}

void query_host::details::end_listing(time_point now)
{
    book_.retain(listed_, now);
    book_.set_evacuated(listed_zones_, now);
    fleet_.set_ready(ready());
}

void query_host::details::take(serving::catalogue_data data)
{
    auto const catalogue =
        std::make_shared<serving::route_catalogue const>(std::move(data));
    std::string const version = std::to_string(catalogue->version());
    if (front_.engine().set_catalogue(catalogue))
    {
        front_.server().set_limits(catalogue->limits());
        log_.note("configuration.accepted", version, "in force from now on");
        fleet_.set_ready(ready());
    }
    else if (catalogue->version() < front_.engine().catalogue()->version())
    {
        log_.note("configuration.refused", version,
                  "older than the version in force");
    }
}

bool query_host::details::ready()
{
    return !leaving_since_ && serving_ && follower_.synchronized() &&
           front_.engine().catalogue() != nullptr;
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
        port_->send(m.to, encode_message(m.message));
    }
}

void query_host::details::hear(std::string_view sender, std::string_view bytes)
{
    auto const message = decode_message(bytes);
    if (!message)
    {
        log_.note("gossip.unreadable", sender, message.error().detail);
        return;
    }
    send(fleet_.hear(std::string(sender), message.value(), time_.now()));
}

void query_host::details::await_signal()
{
    signals_.async_wait(
        [this](asio::error_code const& cancelled, int number)
        {
            if (cancelled)
            {
                return;
            }
            if (number == SIGTERM)
            {
                begin_shutdown();
            }
            else
            {
                reload("SIGHUP");
            }
            await_signal();
        });
}

void query_host::details::begin_shutdown()
{
    if (leaving_since_)
    {
        return;
    }
    leaving_since_ = time_.now();
    log_.note("host.leaving", settings_.name, "SIGTERM");
    fleet_.set_ready(false);
    fleet_.set_leaving();
    front_.server().set_closing();
    send(fleet_.announce());
}

void query_host::details::check_shutdown(time_point now)
{
    if (!leaving_since_)
    {
        return;
    }
    duration const since = now - *leaving_since_;
    if (since < std::min(farewell, settings_.shutdown_grace - exit_margin -
                                       last_requests))
    {
        return;
    }
    front_.refuse_new();
    front_.server().stop_listening();
    bool const idle = front_.server().open_exchanges() == 0;
    if (idle || since >= settings_.shutdown_grace - exit_margin)
    {
        loop_.stop();
    }
}

void query_host::details::check_settings(time_point now)
{
    if (now - settings_checked_ < settings_check_every)
    {
        return;
    }
    settings_checked_ = now;
    struct stat file
    {
    };
    if (stat(path_.c_str(), &file) != 0)
    {
        return;
    }
    bool const first = settings_file_ == 0;
    bool const changed = file.st_mtim.tv_sec != settings_changed_.tv_sec ||
                         file.st_mtim.tv_nsec != settings_changed_.tv_nsec ||
                         file.st_ino != settings_file_;
    settings_changed_ = file.st_mtim;
    settings_file_ = file.st_ino;
    if (changed && !first)
    {
        reload("the file has changed");
    }
}

void query_host::details::reload(char const* why)
{
    auto fresh = read_settings(path_);
    if (!fresh)
    {
        log_.note("settings.refused", path_, fresh.error().detail);
        return;
    }
    host_settings const& s = fresh.value();
    fleet_.set_seeds(ips_of(s.seeds));
    front_.engine().set_options(options_of(s, started_));
    settings_.shutdown_grace = s.shutdown_grace;
    settings_.directory_ttl = s.directory_ttl;
    settings_.seeds = s.seeds;
    log_.note("settings.reloaded", path_, why);
}

endpoint_answer query_host::details::answer_readiness(std::string_view method,
                                                      std::string_view target)
{
    if (!adapter_.is_readiness_question(method, target))
    {
        return {};
    }
    return {.status = ready() ? 200 : 503, .body = "{}"};
}

endpoint_answer query_host::details::answer_directory(std::string_view method,
                                                      std::string_view target)
{
    auto const zone = adapter_.directory_question(method, target);
    if (!zone)
    {
        return {};
    }
    auto const port = settings_.clients.substr(settings_.clients.rfind(':'));
    std::vector<std::string> addresses;
    for (auto const& ip : fleet_.directory(*zone))
    {
        addresses.push_back(ip + port);
    }
    if (addresses.empty())
    {
        return {.status = 503, .body = R"({"error":"no host is ready"})"};
    }
    auto const lifetime = std::chrono::duration_cast<std::chrono::seconds>(
        std::min<duration>(settings_.directory_ttl, directory_lifetime));
    return {.status = 200,
            .body = adapter_.directory_answer(
                addresses, static_cast<int>(lifetime.count()))};
}

endpoint_answer query_host::details::answer_control(std::string_view method,
                                                    std::string_view target)
{
    if (method == "GET" && target == "/metrics")
    {
        return {200, "text/plain; version=0.0.4", metrics()};
    }
    if (method == "GET" && target == "/status")
    {
        time_point const now = time_.now();
        auto const* catalogue = front_.engine().catalogue();
        return {.status = 200,
                .body = fmt::format(
                    R"({{"host":"{}","zone":"{}","ready":{},"leaving":{},)"
                    R"("configuration_version":{},"live_hosts":{},)"
                    R"("targets_usable":{},"store_contact_age_ms":{}}})",
                    settings_.name, settings_.zone, ready(),
                    leaving_since_.has_value(),
                    catalogue == nullptr ? 0 : catalogue->version(),
                    fleet_.live_hosts(), book_.usable_count(),
                    (now - follower_.last_contact()) / 1ms)};
    }
    return {};
}

std::string query_host::details::metrics()
{
    time_point const now = time_.now();
    std::string text;
    front_.counters().print(text);
    auto const pool = front_.pool().figures();
    auto const* catalogue = front_.engine().catalogue();
    print_metric(text, "requests_in_progress",
                 static_cast<double>(front_.engine().in_progress()));
    print_metric(text, "client_connections",
                 static_cast<double>(front_.server().connections()));
    print_metric(text, "target_connections", static_cast<double>(pool.open));
    print_metric(text, "target_connections_idle",
                 static_cast<double>(pool.idle));
    print_metric(text, "target_connections_opened_total",
                 static_cast<double>(pool.opened));
    print_metric(text, "targets", static_cast<double>(book_.size()));
    print_metric(text, "targets_usable",
                 static_cast<double>(book_.usable_count()));
    print_metric(text, "live_hosts", fleet_.live_hosts());
    print_metric(
        text, "configuration_version",
        catalogue == nullptr ? 0.0 : static_cast<double>(catalogue->version()));
    print_metric(text, "store_calls_total",
                 static_cast<double>(follower_.calls()));
    print_metric(
        text, "store_contact_age_seconds",
        std::chrono::duration<double>(now - follower_.last_contact()).count());
    print_metric(text, "log_lines_dropped_total",
                 static_cast<double>(log_.dropped()));
    return text;
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
