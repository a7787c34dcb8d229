// Rotation over peer names.
#include <algorithm>
#include <base/rendezvous.hpp>
#include <details/peer_rotation.hpp>
#include <utility>

namespace kumquatramp
{

peer_rotation::peer_rotation(host_name owner)
    : owner_(std::move(owner))
{
}

std::optional<host_name> peer_rotation::next_remaining(filter const& wanted)
{
    while (!remaining_.empty())
    {
        auto name = std::move(remaining_.back());
        remaining_.pop_back();
        if (wanted(name))
        {
            return name;
        }
    }
    return std::nullopt;
}

std::optional<host_name> peer_rotation::next(source const& refill,
                                             filter const& wanted)
{
    if (auto name = next_remaining(wanted))
    {
        return name;
    }
    remaining_ = refill();
    auto const weight = [&](host_name const& name)
    { return rendezvous_weight(owner_.value(), name.value()); };
    std::sort(remaining_.begin(), remaining_.end(),
              [&](host_name const& a, host_name const& b)
              { return weight(a) < weight(b); });
    return next_remaining(wanted);
}

} // namespace kumquatramp
