// The subcommands of kumquatrampctl.
#ifndef KUMQUATRAMP_TOOLS_KUMQUATRAMPCTL_COMMANDS_HPP
#define KUMQUATRAMP_TOOLS_KUMQUATRAMPCTL_COMMANDS_HPP

namespace kumquatramp
{

struct ctl_options;

// Each function prints its result and returns the exit code.

/// Validates a rules file without contacting a host.
int check_rules(ctl_options const& options);

/// Shows one of the status tables of the hosts.
int show_view(ctl_options const& options);

/// Shows the outcome of a request id.
int show_outcome(ctl_options const& options);

/// Prints the timeline of a request from a log file, or from standard input
/// for "-".
int explain(ctl_options const& options);

/// Shows the error budget burn of the services, summed over the hosts.
int show_burn(ctl_options const& options);

} // namespace kumquatramp

#endif
