// A serialized request that shares its body with other sends.
#ifndef KUMQUATRAMP_EVENTLOOP_OUTGOING_REQUEST_HPP
#define KUMQUATRAMP_EVENTLOOP_OUTGOING_REQUEST_HPP

#include <memory>
#include <string>

namespace kumquatramp::eventloop
{

struct outgoing_request
{
    std::string head; ///< up to and including the empty line; empty: no request
    std::shared_ptr<std::string const> body{}; ///< null: none, or part of head

    bool empty() const { return head.empty(); }
};

} // namespace kumquatramp::eventloop

#endif
