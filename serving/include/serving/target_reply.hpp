// How one attempt at a target ended.
#ifndef KUMQUATRAMP_SERVING_TARGET_REPLY_HPP
#define KUMQUATRAMP_SERVING_TARGET_REPLY_HPP

#include <base/time.hpp>
#include <optional>
#include <string>

namespace kumquatramp::serving
{

enum class reply_kind
{
    answered,     ///< a whole answer of the expected instance
    not_executed, ///< the target says that it did not run the request
    not_sent,     ///< no byte of the request left this host
    broken,       ///< sent, but no whole and sound answer came: may have run
};

struct target_reply
{
    reply_kind kind = reply_kind::broken;
    int status = 0;
    bool stamped = false;     ///< bears the target's signature
    bool leaving = false;     ///< the target closes its connections
    bool misdirected = false; ///< another instance is at the address
    std::string stamp;
    std::string body;
    std::optional<int> busy; ///< running and waiting requests, as reported
    char const* cause = "";  ///< for broken and not_sent: what happened
};

} // namespace kumquatramp::serving

#endif
