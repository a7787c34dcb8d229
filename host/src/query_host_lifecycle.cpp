// Duty, signals, settings that change, and the shutdown.
#include "query_host_details.hpp"
#include "settings_figures.hpp"
#include <csignal>
#include <sys/stat.h>

namespace kumquatramp::host
{

namespace
{

constexpr duration settings_check_every = 2s;
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

} // namespace

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

bool query_host::details::ready()
{
    return !leaving_since_ && serving_ && follower_.synchronized() &&
           front_.engine().catalogue() != nullptr;
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
    bool const idle = front_.server().unfinished() == 0;
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

} // namespace kumquatramp::host
