// The subcommands of kumquatrampctl.
#ifndef KUMQUATRAMP_TOOLS_KUMQUATRAMPCTL_COMMANDS_HPP
#define KUMQUATRAMP_TOOLS_KUMQUATRAMPCTL_COMMANDS_HPP

namespace kumquatramp
{

struct ctl_options;

// Each prints its result and gives the exit code.

/// Checks a rules file without any host.
int check_rules(ctl_options const& options);

/// Shows one of the tables of the hosts' status.
int show_view(ctl_options const& options);

/// Shows what became of a request id.
int show_outcome(ctl_options const& options);

/// Tells one request's story out of a log file, or standard input for "-".
int explain(ctl_options const& options);

/// Shows the service-level burn of the hosts together.
int show_burn(ctl_options const& options);

} // namespace kumquatramp

#endif
