// target_standin: simulates one or more targets for tests.
#include <cstdio>
#include <fstream>
#include <gflags/gflags.h>
#include <memory>
#include <standins/http/run_until_signal.hpp>
#include <standins/target/target_server.hpp>
#include <string>

DEFINE_string(targets, "", "file with one target per line, as key=value pairs");
DEFINE_string(set, "",
              "further settings of the single target, as key=value pairs");
DEFINE_int32(port, 0, "loopback port of the single target");
DEFINE_string(name, "target", "name of the single target");
DEFINE_string(service, "stock-finder", "service of the single target");
DEFINE_int32(shard, 0, "shard that the single target holds in map 1");
DEFINE_int32(shards, 1, "number of shards in map 1");
DEFINE_int32(slots, 4, "maximum concurrent executions");
DEFINE_int32(connections, 80, "connection limit");
DEFINE_double(service_ms, 4, "mean execution time in milliseconds");
DEFINE_string(data, "", "tab-separated file with the stock list");
DEFINE_int32(lifetime_s, 3600, "exits after this many seconds");

namespace
{

using namespace kumquatramp::standins;

std::string line_from_flags()
{
    return "name=" + FLAGS_name + " service=" + FLAGS_service +
           " port=" + std::to_string(FLAGS_port) + " places=1/" +
           std::to_string(FLAGS_shard) +
           " maps=1:" + std::to_string(FLAGS_shards) +
           " slots=" + std::to_string(FLAGS_slots) +
           " connections=" + std::to_string(FLAGS_connections) +
           " service_ms=" + std::to_string(FLAGS_service_ms) + " " + FLAGS_set;
}

std::vector<std::string> target_lines()
{
    if (FLAGS_targets.empty())
    {
        return {line_from_flags()};
    }
    std::vector<std::string> lines;
    std::ifstream file(FLAGS_targets);
    for (std::string line; std::getline(file, line);)
    {
        if (!line.empty() && line.front() != '#')
        {
            lines.push_back(line);
        }
    }
    return lines;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("target_standin --targets FILE --data FILE");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    block_stop_signals();
    auto stock = std::make_shared<std::vector<stock_item>>();
    if (!FLAGS_data.empty())
    {
        auto loaded = load_stock(FLAGS_data);
        if (!loaded)
        {
            std::fprintf(stderr, "%s\n", loaded.error().detail.c_str());
            return 2;
        }
        *stock = std::move(loaded.value());
    }
    std::vector<std::unique_ptr<target_server>> targets;
    std::vector<bound_server> servers;
    for (auto const& line : target_lines())
    {
        auto settings = parse_target_line(line);
        if (!settings)
        {
            std::fprintf(stderr, "%s\n", settings.error().detail.c_str());
            return 2;
        }
        auto const port = settings.value().port;
        targets.push_back(
            std::make_unique<target_server>(settings.value(), stock));
        servers.push_back({&targets.back()->http(), port});
    }
    if (servers.empty())
    {
        std::fprintf(stderr, "no targets in '%s'\n", FLAGS_targets.c_str());
        return 2;
    }
    return serve(servers, std::chrono::seconds(FLAGS_lifetime_s));
}
