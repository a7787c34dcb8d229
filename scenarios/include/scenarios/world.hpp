// One run: a deployment of real nodes over a simulated environment, under
// virtual time.
#ifndef KUMQUATRAMP_SCENARIOS_WORLD_HPP
#define KUMQUATRAMP_SCENARIOS_WORLD_HPP

#include <map>
#include <memory>
#include <node/node_options.hpp>
#include <scenarios/caller_fleet.hpp>
#include <scenarios/deployment.hpp>
#include <scenarios/event_queue.hpp>
#include <scenarios/fake_network.hpp>
#include <scenarios/fake_platform.hpp>
#include <scenarios/fake_target.hpp>
#include <scenarios/host_driver.hpp>
#include <scenarios/run_log.hpp>
#include <scenarios/value_editor.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace kumquatramp::scenarios
{

struct world_options
{
    std::uint64_t seed = 1;
    choice_policy choice = choice_policy::expected_latency;
    std::vector<std::string> rules; ///< in force from the start
};

/// Hosts and targets run from the start; load() adds callers. The same options
/// and calls give the same run. host(), target(), load(), restart_target() and
/// repartition() throw std::out_of_range if the name is unknown;
/// targets_of_service() and targets_in_zone() return an empty list. The other
/// methods do not check names.
class world
{
public:
    world(deployment sizes, world_options const& options);
    ~world();
    world(world const&) = delete;
    world& operator=(world const&) = delete;

    void run_until(time_point end) { queue_.run_until(end); }
    event_queue& queue() noexcept { return queue_; }
    run_log const& log() const noexcept { return log_; }
    deployment const& sizes() const noexcept { return sizes_; }
    value_editor& editor() noexcept { return editor_; }
    fake_platform& platform() noexcept { return platform_; }
    fake_network& network() noexcept { return network_; }

    host_driver& host(std::string const& name);
    fake_target& target(std::string const& name);
    std::vector<fake_target*> targets_of_service(std::string const& service);
    std::vector<fake_target*> targets_in_zone(std::string const& zone);

    void load(std::string const& service, double rate);

    /// Publish the current contents of the editor.
    void publish_rules();
    void publish_catalogue();
    void publish_members();

    void restart_target(std::string const& name);

    /// Partitions a host from all other hosts, or from all targets (`cut`), or
    /// ends that partition.
    void cut_from_hosts(std::string const& host, bool cut);
    void cut_from_targets(std::string const& host, bool cut);

    /// Publishes a new shard map; the targets adopt it one after the other,
    /// spread evenly over `time`.
    void repartition(std::string const& service, std::uint32_t shards,
                     duration time);

    /// Moves the targets one after the other to the next index version, spread
    /// evenly over `time`; each also keeps the previous version.
    void advance_index(std::string const& service, duration time);

    /// Whether the host accepts requests: running, not frozen and ready.
    bool ready(host_driver& host);

private:
    void make_targets(std::uint64_t seed);
    void make_hosts(world_options const& options);
    void on_visible(config_key key, config_version version,
                    std::string const& text);
    void record_closings();
    void sample_configs();

    deployment const sizes_;
    event_queue queue_;
    run_log log_;
    value_editor editor_;
    fake_network network_;
    fake_platform platform_;
    std::map<target_name, std::unique_ptr<fake_target>> targets_;
    std::map<target_name, target_size> target_sizes_;
    std::map<host_name, std::unique_ptr<host_driver>> hosts_;
    run_parts const parts_;
    caller_fleet callers_;
    // Latest valid texts that readers could see.
    std::map<config_key, std::string> visible_;
    std::map<target_name, bool> closed_;
};

} // namespace kumquatramp::scenarios

#endif
