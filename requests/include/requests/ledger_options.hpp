// Capacity and retention limits of a request ledger.
#ifndef KUMQUATRAMP_REQUESTS_LEDGER_OPTIONS_HPP
#define KUMQUATRAMP_REQUESTS_LEDGER_OPTIONS_HPP

#include <base/time.hpp>
#include <cstddef>

namespace kumquatramp
{

struct ledger_options
{
    /// Maximum number of ids kept, over all states; at most half of them may
    /// be unused. Beyond these limits the oldest unused ids and the oldest
    /// outcomes are evicted. Requests in progress are never evicted.
    std::size_t capacity = 100'000;

    /// Maximum total size of the stored responses, in bytes. Beyond it the
    /// oldest responses are dropped; the ledger still records that their
    /// requests ran.
    std::size_t response_bytes = 8'000'000;

    /// Time within which an issued id must be presented. It may be evicted
    /// earlier if the limit on unused ids is reached.
    duration unused_lifetime = 10min;

    /// Time for which an outcome can be queried. It may be evicted earlier
    /// if the ledger is at capacity.
    duration outcome_retention = 30min;
};

} // namespace kumquatramp

#endif
