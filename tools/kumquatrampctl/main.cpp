// kumquatrampctl: the operators' command line.
#include "commands.hpp"
#include "options.hpp"
#include <algorithm>
#include <cstdio>
#include <gflags/gflags.h>
#include <optional>
#include <string_view>

DEFINE_string(admin, "127.0.0.1:8201",
              "operators' addresses of the hosts, several with commas");
DEFINE_string(callers, "127.0.0.1:8001",
              "callers' address of the host to ask for an outcome");
DEFINE_bool(json, false, "JSON for scripts in place of tables");
DEFINE_string(html, "", "with burn: also writes the report's page here");

namespace
{

using namespace kumquatramp;

constexpr char const* usage =
    "shows and checks what entry hosts of kumquatramp do.\n"
    "  kumquatrampctl check-rules FILE  each fault as FILE:LINE: reason\n"
    "  kumquatrampctl status            phase, readiness and view of hosts\n"
    "  kumquatrampctl hosts             the members as each host sees them\n"
    "  kumquatrampctl targets           the targets as each host sees them\n"
    "  kumquatrampctl drains            the targets that get no new work\n"
    "  kumquatrampctl config            versions in force, refused ones\n"
    "  kumquatrampctl outcome ID        what became of a request id\n"
    "  kumquatrampctl explain ID [FILE] a request's story from a host's log;\n"
    "                                   standard input without FILE\n"
    "  kumquatrampctl burn              service-level burn of the hosts\n"
    "Flags: --admin IP:PORT[,IP:PORT...], --callers IP:PORT, --json, --html\n"
    "Exit codes: 0 good, 1 the file has faults or the id is refused, 2 bad\n"
    "command line or file, 3 a host did not answer.";

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

int complain(char const* what)
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
    return known ? show_view(options) : complain("unknown command");
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage(usage);
    gflags::SetVersionString(KUMQUATRAMP_VERSION);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (argc < 2)
    {
        return complain("no command");
    }
    ctl_options options;
    options.command = argv[1];
    options.json = FLAGS_json;
    options.html = FLAGS_html;
    auto const admins = read_addresses(FLAGS_admin);
    auto const callers = parse_socket_address(FLAGS_callers);
    if (!admins || !callers)
    {
        return complain("an address must be an IP number and a port");
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
        return complain(wanted == 3 ? "the command takes one argument"
                                    : "the command takes no argument");
    }
    options.argument = wanted == 3 ? argv[2] : "";
    return run(options);
}
