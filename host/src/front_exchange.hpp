// A client's request as the front service keeps it.
#ifndef KUMQUATRAMP_HOST_FRONT_EXCHANGE_HPP
#define KUMQUATRAMP_HOST_FRONT_EXCHANGE_HPP

#include <host/front_service.hpp>
#include <string>
#include <string_view>

namespace kumquatramp::host
{

inline bool has_no_body(std::string_view method)
{
    return method == "HEAD";
}

/// A client's request, kept for as long as it may be sent.
struct front_service::exchange_state
{
    std::string id;
    std::string method;
    std::string head; ///< start line and headers for targets, not the last ones
    std::string body;
    bool client_keeps = true;
    time_point arrived{};
};

} // namespace kumquatramp::host

#endif
