// What one process may hold of its machine.
#ifndef KUMQUATRAMP_EVENTLOOP_PROCESS_BUDGET_HPP
#define KUMQUATRAMP_EVENTLOOP_PROCESS_BUDGET_HPP

#include <eventloop/memory_ledger.hpp>
#include <eventloop/socket_budget.hpp>

namespace kumquatramp::eventloop
{

/// Shared by all servers and pools of a process; unlimited by default.
struct process_budget
{
    memory_ledger memory;
    socket_budget sockets;
};

} // namespace kumquatramp::eventloop

#endif
