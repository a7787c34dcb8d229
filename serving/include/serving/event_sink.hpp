// Where decisions report what changed in their beliefs.
#ifndef KUMQUATRAMP_SERVING_EVENT_SINK_HPP
#define KUMQUATRAMP_SERVING_EVENT_SINK_HPP

#include <string_view>

namespace kumquatramp::serving
{

/// Receives one line per change of belief. Implementations never block.
class event_sink
{
public:
    event_sink() = default;
    event_sink(event_sink const&) = delete;
    event_sink& operator=(event_sink const&) = delete;
    virtual ~event_sink() = default;

    /// `event` is from the list in docs/OPERATIONS.md; `subject` is the thing
    /// it is about; `detail` tells the inputs and the outcome.
    virtual void note(std::string_view event, std::string_view subject,
                      std::string_view detail) = 0;
};

} // namespace kumquatramp::serving

#endif
