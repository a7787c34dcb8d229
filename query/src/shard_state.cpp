// Text names of the shard states.
#include <query/shard_state.hpp>

namespace kumquatramp
{

std::string_view to_string(shard_state state) noexcept
{
    switch (state)
    {
    case shard_state::answered:
        return "answered";
    case shard_state::missing:
        return "missing";
    case shard_state::late:
        return "late";
    case shard_state::failed:
        return "failed";
    case shard_state::wrong_snapshot:
        return "wrong_snapshot";
    }
    return "missing";
}

} // namespace kumquatramp
