// How a call of an http_client ended.
#ifndef KUMQUATRAMP_EVENTLOOP_CALL_OUTCOME_HPP
#define KUMQUATRAMP_EVENTLOOP_CALL_OUTCOME_HPP

namespace kumquatramp::eventloop
{

enum class call_outcome
{
    answered,           ///< a complete response arrived
    unconnected,        ///< no connection was established
    closed,             ///< the connection ended before the first response byte
    timed_out,          ///< no response byte within the timeout
    malformed_response, ///< also: too large, or ended or timed out within it
    cancelled,          ///< by this host
};

/// A short text for the log.
char const* to_string(call_outcome outcome);

} // namespace kumquatramp::eventloop

#endif
