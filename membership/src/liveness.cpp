// String names of the liveness states.
#include <membership/member_state.hpp>

namespace kumquatramp
{

std::string_view to_string(liveness state) noexcept
{
    switch (state)
    {
    case liveness::unheard:
        return "unheard";
    case liveness::live:
        return "live";
    case liveness::suspect:
        return "suspect";
    case liveness::dead:
        return "dead";
    case liveness::leaving:
        return "leaving";
    }
    return "unknown";
}

} // namespace kumquatramp
