// The body of a client request, shared by its sends.
#ifndef KUMQUATRAMP_HOST_HELD_BODY_HPP
#define KUMQUATRAMP_HOST_HELD_BODY_HPP

#include <eventloop/memory_ledger.hpp>
#include <string>

namespace kumquatramp::host
{

/// Freed, and taken from the ledger, with the request or its last send.
struct held_body
{
    explicit held_body(eventloop::memory_ledger& ledger)
        : charge(ledger)
    {
    }

    std::string bytes;
    eventloop::memory_charge charge;
};

} // namespace kumquatramp::host

#endif
