// Logs changes of a host's state.
#ifndef KUMQUATRAMP_TOOLS_KUMQUATRAMPD_STATUS_WATCH_HPP
#define KUMQUATRAMP_TOOLS_KUMQUATRAMPD_STATUS_WATCH_HPP

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <map>
#include <node/node_status.hpp>

namespace kumquatramp
{

class event_log;
class node_driver;

/// Polls the node's status and logs newly active configuration, refused
/// configuration, and changes of readiness and shutdown phase.
class status_watch
{
public:
    /// All references must outlive this object.
    status_watch(asio::io_context& io, node_driver& driver, event_log& log);

    void start();

private:
    void poll_status();
    void log_config_changes(node_status const& status);

    node_driver& driver_;
    event_log& log_;
    asio::steady_timer timer_;
    bool ready_ = false;
    shutdown_phase phase_ = shutdown_phase::serving;
    std::map<config_key, config_version> active_versions_;
    std::map<config_key, config_version> refused_versions_;
};

} // namespace kumquatramp

#endif
