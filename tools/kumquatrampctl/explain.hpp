// A request's story out of the hosts' logs.
#ifndef KUMQUATRAMP_TOOLS_KUMQUATRAMPCTL_EXPLAIN_HPP
#define KUMQUATRAMP_TOOLS_KUMQUATRAMPCTL_EXPLAIN_HPP

#include <iosfwd>
#include <string>
#include <vector>

namespace kumquatramp
{

/// One line of a host's log that bears on the request.
struct explained_line
{
    long long unix_ms = 0;
    std::string host;
    std::string event;
    std::string text; ///< in plain words
};

/// The lines of a request in order of time, and before them what the same
/// host noted of the targets that the request names, in the last seconds.
/// Lines that are no JSON are passed over.
std::vector<explained_line> explain_request(std::istream& log,
                                            std::string const& id);

} // namespace kumquatramp

#endif
