// Result of one attempt at a target.
#ifndef KUMQUATRAMP_SERVING_TARGET_REPLY_HPP
#define KUMQUATRAMP_SERVING_TARGET_REPLY_HPP

#include <base/time.hpp>
#include <optional>
#include <serving/engine_port.hpp>
#include <string>

namespace kumquatramp::serving
{

enum class reply_kind
{
    answered,     ///< complete answer of the expected instance
    not_executed, ///< the target states that it did not execute it
    not_sent,     ///< no byte of the request was sent
    broken,       ///< sent without a valid answer: may have been executed
};

struct target_reply
{
    reply_kind kind = reply_kind::broken;
    int status = 0;
    bool stamped = false;       ///< carries the target's signature
    bool leaving = false;       ///< the target closes its connections
    bool shutting_down = false; ///< the target announces its shutdown
    bool misdirected = false;   ///< another instance answered
    std::string stamp;
    std::string body;
    std::optional<int> busy{}; ///< reported running and waiting requests
    /// How long the target wants nothing from this host, from a refusal.
    std::optional<duration> rest{};
    /// Requests/s that the target accepts from all hosts together.
    std::optional<double> rate_limit{};
    /// Of broken and not_sent: what happened. Empty with not_sent if this host
    /// decided against the send.
    char const* cause = "";
    connection_id connection = 0; ///< that delivered the response; 0: none
};

} // namespace kumquatramp::serving

#endif
