// Shares of the sockets.
#include <algorithm>
#include <eventloop/socket_budget.hpp>

namespace kumquatramp::eventloop
{

namespace
{

/// Sockets that neither clients nor targets use.
constexpr std::size_t own_sockets = 32;
/// Part of the sockets that clients leave to targets: one in this many.
constexpr std::size_t target_part = 4;
/// While less than the first part of the clients' sockets is free, connections
/// are given up until the second one is.
constexpr std::size_t low_room_part = 10;
constexpr std::size_t relieved_room_part = 5;

} // namespace

std::size_t socket_budget::limit(socket_use use) const
{
    if (sockets_ == unlimited)
    {
        return unlimited;
    }
    std::size_t const shared = sockets_ - std::min(sockets_, own_sockets);
    return use == socket_use::target ? shared : shared - shared / target_part;
}

bool socket_budget::has_room(socket_use use) const
{
    return open_ < limit(use);
}

std::size_t socket_budget::client_shortage() const
{
    std::size_t const most = limit(socket_use::client);
    std::size_t const room = most - std::min(most, open_);
    std::size_t const aim = most / relieved_room_part;
    return room < most / low_room_part ? aim - room : 0;
}

socket_slot::socket_slot(socket_budget& budget, socket_use use)
{
    if (budget.has_room(use))
    {
        budget_ = &budget;
        ++budget_->open_;
    }
}

void socket_slot::release()
{
    if (budget_ != nullptr)
    {
        --budget_->open_;
        budget_ = nullptr;
    }
}

} // namespace kumquatramp::eventloop
