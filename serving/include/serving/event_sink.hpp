// Interface that receives state changes as events for the log.
#ifndef KUMQUATRAMP_SERVING_EVENT_SINK_HPP
#define KUMQUATRAMP_SERVING_EVENT_SINK_HPP

#include <string_view>

namespace kumquatramp::serving
{

/// Receives one event per state change. Implementations must not block.
class event_sink
{
public:
    event_sink() = default;
    event_sink(event_sink const&) = delete;
    event_sink& operator=(event_sink const&) = delete;
    virtual ~event_sink() = default;

    /// Records one event. `event` is one of the names in docs/OPERATIONS.md,
    /// `subject` identifies the object concerned (a target, a zone, the store),
    /// `detail` gives the inputs and the outcome.
    virtual void note(std::string_view event, std::string_view subject,
                      std::string_view detail) = 0;
};

} // namespace kumquatramp::serving

#endif
