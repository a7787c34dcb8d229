// The single-use id of a non-idempotent request.
#ifndef KUMQUATRAMP_REQUESTS_REQUEST_ID_HPP
#define KUMQUATRAMP_REQUESTS_REQUEST_ID_HPP

#include <base/ids.hpp>
#include <compare>
#include <cstdint>

namespace kumquatramp
{

/// Identifies the only host incarnation that may run the request. A host draws
/// a new incarnation at each restart, so an id issued by an earlier incarnation
/// can never run again.
struct request_id
{
    host_name host;
    incarnation life;           ///< incarnation of the host that issued the id
    std::uint64_t sequence = 0; ///< unique within the incarnation

    friend auto operator<=>(request_id const&, request_id const&) = default;
};

} // namespace kumquatramp

#endif
