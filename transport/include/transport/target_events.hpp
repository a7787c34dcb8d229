// Callbacks of the target client to its owner.
#ifndef KUMQUATRAMP_TRANSPORT_TARGET_EVENTS_HPP
#define KUMQUATRAMP_TRANSPORT_TARGET_EVENTS_HPP

#include <base/attempt_id.hpp>
#include <node/target_reply.hpp>

namespace kumquatramp
{

/// Called on the thread of the client's event loop, with no client locks held.
class target_events
{
public:
    target_events() = default;
    target_events(target_events const&) = delete;
    target_events& operator=(target_events const&) = delete;
    virtual ~target_events() = default;

    /// Called immediately before the first byte of a send is written; if false,
    /// nothing is sent.
    virtual bool may_send(attempt_id const& id) = 0;

    /// Called exactly once for each send.
    virtual void on_target_reply(target_reply reply) = 0;

    virtual void on_connection_lost(target_name const& target) = 0;
};

} // namespace kumquatramp

#endif
