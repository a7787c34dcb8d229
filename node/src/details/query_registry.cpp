// Insertion into and counting of the running queries.
#include "details/query_registry.hpp"

namespace kumquatramp
{

bool query_registry::add(std::unique_ptr<running_query> query)
{
    auto const number = query->request.number;
    auto& stripe = stripe_of(number);
    std::lock_guard const guard(stripe.mutex);
    return stripe.queries.emplace(number, std::move(query)).second;
}

std::uint32_t query_registry::unanswered() const
{
    std::uint32_t count = 0;
    for (auto const& stripe : stripes_)
    {
        std::lock_guard const guard(stripe.mutex);
        for (auto const& [number, query] : stripe.queries)
        {
            count += query->answered ? 0 : 1;
        }
    }
    return count;
}

} // namespace kumquatramp
