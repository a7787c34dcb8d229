// Iterates over peers repeatedly, in an order specific to the owner.
#ifndef KUMQUATRAMP_MEMBERSHIP_DETAILS_PEER_ROTATION_HPP
#define KUMQUATRAMP_MEMBERSHIP_DETAILS_PEER_ROTATION_HPP

#include <base/ids.hpp>
#include <functional>
#include <optional>
#include <vector>

namespace kumquatramp
{

/// The order is by rendezvous with the owner's name, so that it differs between
/// hosts but is the same in every pass. With at least n names, any n
/// consecutive ones are therefore distinct, which bounds the time until a
/// majority has been asked. Independent random selection, or a new order for
/// each pass, would not give this bound.
class peer_rotation
{
public:
    using filter = std::function<bool(host_name const&)>;
    using source = std::function<std::vector<host_name>()>;

    explicit peer_rotation(host_name owner);

    /// Returns the next name that `wanted` accepts. At the end of a pass it
    /// starts one new pass with the names from `refill`. Returns nothing if
    /// that pass has no accepted name either.
    std::optional<host_name> next(source const& refill, filter const& wanted);

private:
    std::optional<host_name> next_remaining(filter const& wanted);

    host_name owner_;
    std::vector<host_name> remaining_; // in order; taken from the back
};

} // namespace kumquatramp

#endif
