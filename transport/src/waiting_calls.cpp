// Registry of callers that wait for an answer.
#include <transport/waiting_calls.hpp>
#include <utility>

namespace kumquatramp
{

waiting_calls::stripe& waiting_calls::stripe_of(query_number number)
{
    return stripes_[number.value() % stripe_count];
}

void waiting_calls::add(query_number number, call waiting)
{
    auto& stripe = stripe_of(number);
    std::lock_guard const guard(stripe.mutex);
    stripe.calls.emplace(number, std::move(waiting));
}

waiting_calls::call waiting_calls::find(query_number number)
{
    auto& stripe = stripe_of(number);
    std::lock_guard const guard(stripe.mutex);
    auto const found = stripe.calls.find(number);
    return found == stripe.calls.end() ? nullptr : found->second;
}

waiting_calls::call waiting_calls::take(query_number number)
{
    auto& stripe = stripe_of(number);
    std::lock_guard const guard(stripe.mutex);
    auto const found = stripe.calls.find(number);
    if (found == stripe.calls.end())
    {
        return nullptr;
    }
    auto waiting = std::move(found->second);
    stripe.calls.erase(found);
    return waiting;
}

std::optional<query_number> waiting_calls::number_of(request_id const& id)
{
    for (auto& stripe : stripes_)
    {
        std::lock_guard const guard(stripe.mutex);
        for (auto const& [number, waiting] : stripe.calls)
        {
            if (waiting->once == id)
            {
                return number;
            }
        }
    }
    return std::nullopt;
}

} // namespace kumquatramp
