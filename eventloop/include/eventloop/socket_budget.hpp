// Account of the sockets that a process has open.
#ifndef KUMQUATRAMP_EVENTLOOP_SOCKET_BUDGET_HPP
#define KUMQUATRAMP_EVENTLOOP_SOCKET_BUDGET_HPP

#include <cstddef>
#include <limits>

namespace kumquatramp::eventloop
{

class socket_slot;

enum class socket_use
{
    client,      ///< accepted; leaves a part to targets
    warm_target, ///< connected in advance of need; as client
    target,      ///< connected for a request that waits
};

/// Shares the sockets of a process between clients and targets, so that neither
/// can take the last ones. A few are kept back from both, for listening, the
/// other hosts and the platform's store. Not thread-safe.
class socket_budget
{
public:
    static constexpr std::size_t unlimited =
        std::numeric_limits<std::size_t>::max();

    explicit socket_budget(std::size_t sockets = unlimited)
        : sockets_(sockets)
    {
    }
    socket_budget(socket_budget const&) = delete;
    socket_budget& operator=(socket_budget const&) = delete;

    std::size_t open() const { return open_; }
    bool has_room(socket_use use) const;
    /// Number of client connections to give up so that others can connect; 0 if
    /// there is room for some.
    std::size_t client_shortage() const;

private:
    friend class socket_slot;
    std::size_t limit(socket_use use) const;

    std::size_t sockets_;
    std::size_t open_ = 0; ///< slots that are taken
};

/// One open socket; its destructor gives the slot back. The budget must outlive
/// it unless it is empty.
class socket_slot
{
public:
    /// Takes a slot if there is room, else stays empty.
    socket_slot(socket_budget& budget, socket_use use);
    ~socket_slot() { release(); }
    socket_slot(socket_slot const&) = delete;
    socket_slot& operator=(socket_slot const&) = delete;

    bool taken() const { return budget_ != nullptr; }
    void release();

private:
    socket_budget* budget_ = nullptr; ///< null: empty
};

} // namespace kumquatramp::eventloop

#endif
