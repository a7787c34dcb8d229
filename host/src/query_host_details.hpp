// The components of one host and the timers, signals and callbacks that connect
// them.
#ifndef KUMQUATRAMP_HOST_QUERY_HOST_DETAILS_HPP
#define KUMQUATRAMP_HOST_QUERY_HOST_DETAILS_HPP

#include "endpoint.hpp"
#include "timed_store.hpp"
#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <base/seeded_random.hpp>
#include <ctime>
#include <eventloop/boot_clock.hpp>
#include <eventloop/datagram_socket.hpp>
#include <eventloop/process_budget.hpp>
#include <fleet/fleet_view.hpp>
#include <fleet/serving_role.hpp>
#include <host/front_service.hpp>
#include <host/host_log.hpp>
#include <host/platform_adapter.hpp>
#include <host/query_host.hpp>
#include <optional>
#include <random>
#include <registry/store_follower.hpp>
#include <registry/store_sink.hpp>
#include <serving/target_table.hpp>
#include <serving/warmup_share.hpp>
#include <set>
#include <sys/types.h>

namespace kumquatramp::host
{

class query_host::details final : public registry::store_sink
{
public:
    /// Interval of the periodic work, including the time limits of connections.
    static constexpr duration sweep_interval = 100ms;

    details(host_settings settings, std::string path,
            platform_adapter& adapter);

    int run();

    void begin_listing(registry::listing_kind kind) override;
    void apply(registry::store_item const& item, time_point now) override;
    void end_listing(time_point now) override;
    void on_current(time_point now) override;

private:
    void apply_catalogue(serving::catalogue_data data);
    void refuse_configuration(std::string_view version,
                              std::string_view reason);
    void listen();
    void schedule_periodic(asio::steady_timer& timer, duration pause,
                           void (details::*step)());
    void sweep();
    void tick_store_follower();
    void gossip();
    void send(std::vector<fleet::outgoing_message> const& messages);
    void handle_message(std::string_view sender, std::string_view bytes);
    void await_signal();
    void begin_shutdown();
    void check_shutdown(time_point now);
    void update_serving_role(time_point now);
    void stand_by(time_point now);
    void measure_lateness(time_point now);
    /// Logs when memory or sockets become short, and when they no longer are.
    void watch_budget();
    void check_settings(time_point now);
    void reload(char const* reason);
    endpoint_answer answer_readiness(std::string_view method,
                                     std::string_view target);
    endpoint_answer answer_directory(std::string_view method,
                                     std::string_view target);
    endpoint_answer answer_control(std::string_view method,
                                   std::string_view target);
    std::string metrics();
    void print_engine_metrics(std::string& text, time_point now);
    bool ready();

    host_settings settings_;
    std::string path_;
    platform_adapter& adapter_;
    eventloop::boot_clock time_;
    time_point started_ = time_.now();
    eventloop::process_budget budget_; // outlives what loop_ holds
    asio::io_context loop_{1};
    seeded_random random_{std::random_device{}()};
    host_log log_;
    fleet::fleet_view fleet_;
    serving::target_table targets_;
    serving::warmup_share warmup_;
    front_service front_;
    endpoint readiness_;
    endpoint directory_;
    endpoint control_;
    timed_store store_;
    registry::store_follower follower_;
    std::optional<eventloop::datagram_socket> gossip_socket_;
    asio::signal_set signals_;
    asio::steady_timer sweep_timer_;
    asio::steady_timer gossip_timer_;

    /// The listing of the store that has not ended, if any.
    std::optional<registry::listing_kind> listing_;
    // Targets and evacuated zones found by it.
    std::set<std::string, std::less<>> listed_targets_;
    std::set<std::string> listed_evacuations_;

    /// The configuration that the store holds was not put in force.
    bool configuration_refused_ = false;
    std::uint64_t refused_configurations_ = 0;

    fleet::serving_role role_;
    time_point last_sweep_{};
    bool memory_short_ = false;  ///< as last logged
    bool sockets_short_ = false; ///< as last logged
    double lateness_ms_ = 0;     ///< of the sweep timer, smoothed

    // Total suspended time of the machine at the last sweep.
    duration suspended_ = eventloop::boot_clock::suspended();
    std::optional<time_point> leaving_since_; ///< set by SIGTERM
    time_point settings_checked_at_{};
    timespec settings_mtime_{};
    ino_t settings_inode_ = 0;
};

} // namespace kumquatramp::host

#endif
