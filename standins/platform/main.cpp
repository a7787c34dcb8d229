// platform_standin: simulates the platform's configuration service for tests.
#include <cstdio>
#include <gflags/gflags.h>
#include <standins/http/run_until_signal.hpp>
#include <standins/platform/platform_server.hpp>
#include <thread>

DEFINE_int32(port, 0, "loopback port to listen on");
DEFINE_string(values, "",
              "directory with the files rules, catalogue and members");
DEFINE_int32(lifetime_s, 3600, "exits after this many seconds");

int main(int argc, char** argv)
{
    using namespace kumquatramp::standins;
    gflags::SetUsageMessage("platform_standin --port N --values DIR");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    block_stop_signals();
    platform_server platform;
    if (!platform.load(FLAGS_values))
    {
        std::fprintf(stderr, "no rules, catalogue or members in '%s'\n",
                     FLAGS_values.c_str());
        return 2;
    }
    if (!platform.http().bind_to_port("127.0.0.1", FLAGS_port))
    {
        std::fprintf(stderr, "port %d is in use\n", FLAGS_port);
        return 2;
    }
    std::thread listener([&] { platform.http().listen_after_bind(); });
    wait_for_stop(std::chrono::seconds(FLAGS_lifetime_s));
    platform.close();
    platform.http().stop();
    listener.join();
    return 0;
}
