// Behaviour settings of one stand-in target.
#ifndef KUMQUATRAMP_STANDINS_TARGET_TARGET_SETTINGS_HPP
#define KUMQUATRAMP_STANDINS_TARGET_TARGET_SETTINGS_HPP

#include <base/result.hpp>
#include <base/snapshot_id.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace kumquatramp::standins
{

using milliseconds = std::chrono::duration<double, std::milli>;

/// The fault injected into a share of the answers.
enum class answer_fault
{
    none,
    late,             ///< after the deadline
    truncated,        ///< shorter than its Content-Length
    garbage,          ///< not JSON
    wrong_attempt_id, ///< carries another attempt's id
    failed,           ///< status 500
};

/// What the target's load reports contain.
enum class load_report_mode
{
    honest,
    idle,    ///< always reports an idle target
    busy,    ///< always reports full slots and queue
    lagging, ///< the load of at least a second ago
    none,
};

/// The keys of set() are those of the table in standins/README.md.
struct target_settings
{
    std::string name = "target";
    std::string service = "stock-finder";
    int port = 0;
    std::map<std::uint64_t, std::uint32_t> places{{1, 0}}; ///< shard by map
    std::map<std::uint64_t, std::uint32_t> maps{{1, 1}};   ///< shards by map
    std::vector<snapshot_id> holds{{1, 1}};
    bool once = false;
    std::uint32_t slots = 4;
    std::uint32_t queue = 8;
    std::uint32_t connections = 80;
    milliseconds connect_cost{0};
    milliseconds service_time{4};
    std::uint32_t warm_after = 0;
    std::uint32_t cold_slots = 1;
    milliseconds collapse_time{3000};
    std::uint32_t restarts = 0; ///< incremented by each simulated restart
    bool drain = false;
    double straggle_share = 0;
    double straggle_factor = 20;
    answer_fault fault = answer_fault::none;
    double fault_share = 1;
    load_report_mode load = load_report_mode::honest;
    std::uint64_t seed = 1;

    /// Sets one key. Fails with malformed_request for an unknown key or an
    /// invalid value and then leaves the settings unchanged.
    result<void> set(std::string_view key, std::string_view value);
};

/// Parses one line of space-separated key=value pairs; "#" starts a comment.
result<target_settings> parse_target_line(std::string_view line);

/// Formats snapshots as "MAP/INDEX,...", for example "1/7,1/8".
std::string to_text(std::vector<snapshot_id> const& snapshots);

/// Parses one snapshot such as "1/7"; nullopt if it is malformed.
std::optional<snapshot_id> parse_snapshot(std::string_view text);

} // namespace kumquatramp::standins

#endif
