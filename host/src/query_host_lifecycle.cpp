// Role in the serving set, signals, reload of settings, and shutdown.
#include "query_host_details.hpp"
#include "settings_conversion.hpp"
#include <csignal>
#include <sys/stat.h>

namespace kumquatramp::host
{

namespace
{

constexpr duration settings_check_interval = 2s;
/// Timer lateness above busy_lateness_ms marks the host as busy, since work
/// waits for the processor; at idle_lateness_ms or below the mark is removed.
constexpr double busy_lateness_ms = 20;
constexpr double idle_lateness_ms = 6;
/// Weight of one sample in the moving average: covers about the last 2 s of
/// sweeps.
constexpr double lateness_gain = 0.05;

/// Clients keep coming after SIGTERM until their directory answers expire, so
/// new requests are accepted for this long, or less if the shutdown grace
/// period is short.
constexpr duration accept_after_sigterm = 2900ms;
/// Parts of the shutdown grace period reserved at its end: the last one for the
/// exit, the one before it to write the answers of requests that have not ended
/// by then, and the first one for the requests accepted last.
constexpr duration exit_margin = 700ms;
constexpr duration last_answers_margin = 200ms;
constexpr duration last_requests_margin = 500ms;

} // namespace

void query_host::details::update_serving_role(time_point now)
{
    if (leaving_since_ || !fleet_.settled(now))
    {
        return;
    }
    using phase = fleet::serving_role::phase;
    phase const before = role_.current();
    phase const present =
        role_.update(fleet_.serves(), front_.counters().requests, now);
    if (present == before)
    {
        return;
    }
    switch (present)
    {
    case phase::serving:
        log_.note("host.serving", settings_.name, "joined the serving set");
        if (before == phase::standby)
        {
            follower_.resume(now);
            tick_store_follower();
        }
        break;
    case phase::withdrawing:
        log_.note("host.withdrawing", settings_.name,
                  "left the serving set; serves the clients that still come");
        break;
    case phase::standby:
        log_.note("host.standby", settings_.name,
                  "no longer follows the store; refuses requests");
        stand_by(now);
        break;
    }
}

void query_host::details::stand_by(time_point now)
{
    follower_.pause();
    // Without the store, configuration and targets would grow stale.
    front_.engine().withdraw_catalogue();
    targets_.retain({}, now);
}

void query_host::details::measure_lateness(time_point now)
{
    if (last_sweep_ != time_point{})
    {
        double const late_ms = std::chrono::duration<double, std::milli>(
                                   now - last_sweep_ - sweep_interval)
                                   .count();
        lateness_ms_ += lateness_gain * (late_ms - lateness_ms_);
    }
    last_sweep_ = now;
    bool const was_busy = fleet_.self().busy;
    fleet_.set_busy(lateness_ms_ >
                    (was_busy ? idle_lateness_ms : busy_lateness_ms));
}

bool query_host::details::ready()
{
    return !leaving_since_ &&
           role_.current() == fleet::serving_role::phase::serving &&
           follower_.synchronized() && front_.engine().catalogue() != nullptr;
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
    front_.end_by(*leaving_since_ + settings_.shutdown_grace - exit_margin -
                  last_answers_margin);
    send(fleet_.announce());
}

void query_host::details::check_shutdown(time_point now)
{
    if (!leaving_since_)
    {
        return;
    }
    duration const since = now - *leaving_since_;
    if (since < std::min(accept_after_sigterm,
                         settings_.shutdown_grace - exit_margin -
                             last_answers_margin - last_requests_margin))
    {
        return;
    }
    front_.refuse_new_requests();
    front_.server().stop_listening();
    bool const idle = front_.server().unfinished_responses() == 0;
    if (idle || since >= settings_.shutdown_grace - exit_margin)
    {
        loop_.stop();
    }
}

void query_host::details::check_settings(time_point now)
{
    if (now - settings_checked_at_ < settings_check_interval)
    {
        return;
    }
    settings_checked_at_ = now;
    struct stat file
    {
    };
    if (stat(path_.c_str(), &file) != 0)
    {
        return;
    }
    bool const first = settings_inode_ == 0;
    bool const changed = file.st_mtim.tv_sec != settings_mtime_.tv_sec ||
                         file.st_mtim.tv_nsec != settings_mtime_.tv_nsec ||
                         file.st_ino != settings_inode_;
    settings_mtime_ = file.st_mtim;
    settings_inode_ = file.st_ino;
    if (changed && !first)
    {
        reload("settings file changed");
    }
}

void query_host::details::reload(char const* reason)
{
    auto new_settings = read_settings(path_);
    if (!new_settings)
    {
        log_.note("settings.refused", path_, new_settings.error().detail);
        return;
    }
    host_settings const& s = new_settings.value();
    fleet_.set_seeds(extract_ips(s.seeds));
    front_.engine().set_options(to_serving_options(s, started_));
    settings_.shutdown_grace = s.shutdown_grace;
    settings_.directory_ttl = s.directory_ttl;
    settings_.seeds = s.seeds;
    log_.note("settings.reloaded", path_, reason);
}

} // namespace kumquatramp::host
