// Where decisions report what changed in their beliefs.
#ifndef KUMQUATRAMP_SERVING_BELIEF_LOG_HPP
#define KUMQUATRAMP_SERVING_BELIEF_LOG_HPP

#include <string_view>

namespace kumquatramp::serving
{

/// Receives one line per change of belief. Implementations never block.
class belief_log
{
public:
    belief_log() = default;
    belief_log(belief_log const&) = delete;
    belief_log& operator=(belief_log const&) = delete;
    virtual ~belief_log() = default;

    /// `event` is from the list in docs/OPERATIONS.md; `subject` is the thing
    /// it is about; `detail` tells the inputs and the outcome.
    virtual void note(std::string_view event, std::string_view subject,
                      std::string_view detail) = 0;
};

} // namespace kumquatramp::serving

#endif
