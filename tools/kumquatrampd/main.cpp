// kumquatrampd: the daemon that runs on each entry host.
#include "entry_host.hpp"
#include <csignal>
#include <cstdio>
#include <fstream>
#include <gflags/gflags.h>
#include <iterator>
#include <string>

DEFINE_string(settings, "", "INI file with the settings of this host");
DEFINE_bool(check, false, "validates the settings and exits");

namespace
{

using namespace kumquatramp;

constexpr int exit_bad_settings = 2;

constexpr char const* usage =
    "runs an entry host of kumquatramp.\n"
    "  kumquatrampd --settings FILE          serves until SIGTERM or SIGINT\n"
    "  kumquatrampd --settings FILE --check  validates the settings only\n"
    "Exit codes: 0 after a graceful shutdown or a passed check, 1 after a\n"
    "second signal, 2 for invalid settings or a port in use.";

std::string read_file(std::string const& name, bool& good)
{
    std::ifstream file(name);
    good = file.good();
    return {std::istreambuf_iterator<char>(file), {}};
}

void print_fault(settings_fault const& fault)
{
    std::fprintf(stderr, "%s\n", to_string(fault, FLAGS_settings).c_str());
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage(usage);
    gflags::SetVersionString(KUMQUATRAMP_VERSION);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_settings.empty() || argc > 1)
    {
        std::fprintf(stderr, "kumquatrampd %s\n", usage);
        return exit_bad_settings;
    }
    bool readable = false;
    auto const text = read_file(FLAGS_settings, readable);
    if (!readable)
    {
        std::fprintf(stderr, "%s: cannot be read\n", FLAGS_settings.c_str());
        return exit_bad_settings;
    }
    auto const settings = parse_settings(text);
    if (!settings)
    {
        for (auto const& fault : settings.error())
        {
            print_fault(fault);
        }
        return exit_bad_settings;
    }
    if (FLAGS_check)
    {
        std::printf("%s: valid\n", FLAGS_settings.c_str());
        return 0;
    }
    std::signal(SIGPIPE, SIG_IGN);
    entry_host host(settings.value());
    auto const opened = host.open();
    if (!opened)
    {
        print_fault(opened.error());
        return exit_bad_settings;
    }
    return host.run();
}
