// Reconstructs the timeline of a request from the logs of the hosts.
#ifndef KUMQUATRAMP_TOOLS_KUMQUATRAMPCTL_EXPLAIN_HPP
#define KUMQUATRAMP_TOOLS_KUMQUATRAMPCTL_EXPLAIN_HPP

#include <iosfwd>
#include <string>
#include <vector>

namespace kumquatramp
{

/// A log line of a host that is relevant to the request.
struct timeline_entry
{
    long long unix_ms = 0;
    std::string host;
    std::string event;
    std::string text; ///< human-readable description
};

/// Returns the log lines of the request, and the events that the same host
/// logged within the 10 s before about the targets that the lines name, the
/// store, the configuration or the host's own readiness, sorted by time. Lines
/// that are not JSON are skipped.
std::vector<timeline_entry> explain_request(std::istream& log,
                                            std::string const& id);

} // namespace kumquatramp

#endif
