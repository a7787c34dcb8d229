// All running queries, in shards each under its own lock.
#ifndef KUMQUATRAMP_NODE_DETAILS_QUERY_REGISTRY_HPP
#define KUMQUATRAMP_NODE_DETAILS_QUERY_REGISTRY_HPP

#include "details/running_query.hpp"
#include <array>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace kumquatramp
{

/// Queries are reached only through with(), which holds their lock. A
/// query that is answered and has no open attempt is dropped by with().
class query_registry
{
public:
    /// False if the number is in use.
    bool add(std::unique_ptr<running_query> query);

    /// Calls use(running_query&) under the lock; false if there is none.
    template <class Use>
    bool with(query_number number, Use use)
    {
        auto& stripe = stripe_of(number);
        std::lock_guard const guard(stripe.mutex);
        auto const found = stripe.queries.find(number);
        if (found == stripe.queries.end())
        {
            return false;
        }
        use(*found->second);
        if (found->second->answered && found->second->idle())
        {
            stripe.queries.erase(found);
        }
        return true;
    }

    /// Queries that are not answered yet.
    std::uint32_t unanswered() const;

private:
    struct stripe
    {
        mutable std::mutex mutex;
        std::unordered_map<query_number, std::unique_ptr<running_query>>
            queries; // guarded by mutex
    };

    static constexpr std::size_t stripe_count = 16;

    stripe& stripe_of(query_number number)
    {
        return stripes_[number.value() % stripe_count];
    }

    std::array<stripe, stripe_count> stripes_;
};

} // namespace kumquatramp

#endif
