// A client request in progress in the front service.
#ifndef KUMQUATRAMP_HOST_FRONT_EXCHANGE_HPP
#define KUMQUATRAMP_HOST_FRONT_EXCHANGE_HPP

#include "held_body.hpp"
#include <eventloop/memory_ledger.hpp>
#include <host/front_service.hpp>
#include <memory>
#include <string>
#include <string_view>

namespace kumquatramp::host
{

inline bool response_has_no_body(std::string_view method)
{
    return method == "HEAD";
}

/// A client request, held until the engine releases it.
struct front_service::exchange_state
{
    explicit exchange_state(eventloop::memory_ledger& ledger)
        : charge(ledger)
        , body(std::make_shared<held_body>(ledger))
    {
    }

    std::string id; ///< from the request ID header
    std::string method;
    /// Request line and headers for targets, without the headers that differ
    /// between attempts and without the final empty line.
    std::string head;
    eventloop::memory_charge charge; ///< all but the body
    std::shared_ptr<held_body> body;
    bool client_keep_alive = true;
    time_point arrived_at{};
};

} // namespace kumquatramp::host

#endif
