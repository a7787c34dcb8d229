// Logs changes of a host's state.
#include "status_watch.hpp"
#include <algorithm>
#include <node/node.hpp>
#include <transport/event_log.hpp>
#include <transport/node_driver.hpp>

namespace kumquatramp
{

namespace
{

constexpr std::chrono::seconds poll_interval{1};
constexpr std::size_t max_logged_faults = 5;

} // namespace

status_watch::status_watch(asio::io_context& io, node_driver& driver,
                           event_log& log)
    : driver_(driver)
    , log_(log)
    , timer_(io)
{
}

void status_watch::start()
{
    timer_.expires_after(poll_interval);
    timer_.async_wait(
        [this](asio::error_code ec)
        {
            if (!ec)
            {
                poll_status();
                start();
            }
        });
}

void status_watch::poll_status()
{
    auto const status = driver_.hosted_node().status(driver_.now());
    log_config_changes(status);
    bool const ready = driver_.ready();
    if (ready != ready_)
    {
        ready_ = ready;
        log_.write(log_level::info, ready ? "ready" : "not_ready", {});
    }
    if (status.phase != phase_)
    {
        phase_ = status.phase;
        log_.write(log_level::info, "phase", {{"phase", to_string(phase_)}});
    }
}

void status_watch::log_config_changes(node_status const& status)
{
    for (auto const& [key, stamp] : status.stamps)
    {
        if (stamp.version != active_versions_[key])
        {
            active_versions_[key] = stamp.version;
            log_.write(log_level::info, "config_in_force",
                       {{"key", to_string(key)},
                        {"version",
                         static_cast<std::int64_t>(stamp.version.value())}});
        }
    }
    for (auto const& refused : status.refused)
    {
        if (refused_versions_[refused.key] == refused.version)
        {
            continue;
        }
        refused_versions_[refused.key] = refused.version;
        auto const count = std::min(refused.faults.size(), max_logged_faults);
        for (std::size_t i = 0; i < count; ++i)
        {
            log_.write(log_level::error, "config_refused",
                       {{"key", to_string(refused.key)},
                        {"version",
                         static_cast<std::int64_t>(refused.version.value())},
                        {"line", std::int64_t{refused.faults[i].line}},
                        {"reason", refused.faults[i].reason}});
        }
    }
}

} // namespace kumquatramp
