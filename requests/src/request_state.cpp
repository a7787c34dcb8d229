// Names of request states, as reported to callers.
#include <requests/request_outcome.hpp>

namespace kumquatramp
{

std::string_view to_string(request_state state) noexcept
{
    switch (state)
    {
    case request_state::unused:
        return "unused";
    case request_state::waiting:
        return "waiting";
    case request_state::sent:
        return "sent";
    case request_state::ran:
        return "ran";
    case request_state::not_run:
        return "not run";
    case request_state::unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace kumquatramp
