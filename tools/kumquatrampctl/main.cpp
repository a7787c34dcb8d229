// kumquatrampctl: the command-line tool for operators.
#include "commands.hpp"
#include "options.hpp"
#include <algorithm>
#include <cstdio>
#include <gflags/gflags.h>
#include <optional>
#include <string_view>

DEFINE_string(admin, "127.0.0.1:8201",
              "admin addresses of the hosts, separated by commas");
DEFINE_string(callers, "127.0.0.1:8001",
              "caller address of the host to query for an outcome");
DEFINE_bool(json, false, "prints JSON instead of tables");
DEFINE_string(html, "",
              "burn: also writes the report as an HTML page to this file");

namespace
{

using namespace kumquatramp;

constexpr char const* usage =
    "shows the state of kumquatramp entry hosts and checks rules.\n"
    "  kumquatrampctl check-rules FILE  lists faults as FILE:LINE: reason\n"
    "  kumquatrampctl status            phase, readiness and view of hosts\n"
    "  kumquatrampctl hosts             the members as each host sees them\n"
    "  kumquatrampctl targets           the targets as each host sees them\n"
    "  kumquatrampctl drains            the targets that get no new requests\n"
    "  kumquatrampctl config            active and refused versions\n"
    "  kumquatrampctl outcome ID        the outcome of a request id\n"
    "  kumquatrampctl explain ID [FILE] timeline of a request, from a log;\n"
    "                                   standard input without FILE\n"
    "  kumquatrampctl burn              error budget burn of the services\n"
    "Flags: --admin IP:PORT[,IP:PORT...], --callers IP:PORT, --json, --html\n"
    "Exit codes: 0 success, 1 the file has faults or the id is refused or\n"
    "not found, 2 invalid command line or unusable file, 3 a host did not\n"
    "answer.";

std::optional<std::vector<socket_address>> read_addresses(std::string_view text)
{
    std::vector<socket_address> addresses;
    while (!text.empty())
    {
        auto const comma = std::min(text.find(','), text.size());
        auto const address = parse_socket_address(text.substr(0, comma));
        if (!address)
        {
            return std::nullopt;
        }
        addresses.push_back(*address);
        text.remove_prefix(std::min(comma + 1, text.size()));
    }
    return addresses;
}

int print_usage_error(char const* what)
{
    std::fprintf(stderr, "kumquatrampctl: %s\nkumquatrampctl %s\n", what,
                 usage);
    return exit_usage;
}

bool takes_argument(std::string_view command)
{
    return command == "check-rules" || command == "outcome" ||
           command == "explain";
}

int run(ctl_options const& options)
{
    if (options.command == "check-rules")
    {
        return check_rules(options);
    }
    if (options.command == "outcome")
    {
        return show_outcome(options);
    }
    if (options.command == "explain")
    {
        return explain(options);
    }
    if (options.command == "burn")
    {
        return show_burn(options);
    }
    constexpr std::string_view views[] = {"status", "hosts", "targets",
                                          "drains", "config"};
    bool const known = std::find(std::begin(views), std::end(views),
                                 options.command) != std::end(views);
    return known ? show_view(options) : print_usage_error("unknown command");
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage(usage);
    gflags::SetVersionString(KUMQUATRAMP_VERSION);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (argc < 2)
    {
        return print_usage_error("no command");
    }
    ctl_options options;
    options.command = argv[1];
    options.json = FLAGS_json;
    options.html = FLAGS_html;
    auto const admins = read_addresses(FLAGS_admin);
    auto const callers = parse_socket_address(FLAGS_callers);
    if (!admins || !callers)
    {
        return print_usage_error("an address must have the form IP:PORT");
    }
    options.admins = *admins;
    options.callers = *callers;
    int const wanted = takes_argument(options.command) ? 3 : 2;
    if (options.command == "explain" && argc == 4)
    {
        options.file = argv[3];
        --argc;
    }
    if (argc != wanted)
    {
        return print_usage_error(wanted == 3 ? "the command takes one argument"
                                             : "the command takes no argument");
    }
    options.argument = wanted == 3 ? argv[2] : "";
    return run(options);
}
