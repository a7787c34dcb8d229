// Registry of running queries, striped over several locks.
#ifndef KUMQUATRAMP_NODE_DETAILS_QUERY_REGISTRY_HPP
#define KUMQUATRAMP_NODE_DETAILS_QUERY_REGISTRY_HPP

#include "details/running_query.hpp"
#include <array>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace kumquatramp
{

/// Queries are accessed only through with(), which holds the lock of their
/// stripe. with() removes a query that is answered and has no open attempt.
class query_registry
{
public:
    /// Returns false if the query's number is already in use.
    bool add(std::unique_ptr<running_query> query);

    /// Calls use(running_query&) under the lock; returns false if there is no
    /// such query.
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

    /// Number of queries that are not answered yet.
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
