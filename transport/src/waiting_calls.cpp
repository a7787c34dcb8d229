// The callers that wait for their answers.
#include <transport/waiting_calls.hpp>
#include <utility>

namespace kumquatramp
{

waiting_calls::shard& waiting_calls::shard_of(query_number number)
{
    return shards_[number.value() % shard_count];
}

void waiting_calls::add(query_number number, call waiting)
{
    auto& shard = shard_of(number);
    std::lock_guard const guard(shard.mutex);
    shard.calls.emplace(number, std::move(waiting));
}

waiting_calls::call waiting_calls::find(query_number number)
{
    auto& shard = shard_of(number);
    std::lock_guard const guard(shard.mutex);
    auto const found = shard.calls.find(number);
    return found == shard.calls.end() ? nullptr : found->second;
}

waiting_calls::call waiting_calls::take(query_number number)
{
    auto& shard = shard_of(number);
    std::lock_guard const guard(shard.mutex);
    auto const found = shard.calls.find(number);
    if (found == shard.calls.end())
    {
        return nullptr;
    }
    auto waiting = std::move(found->second);
    shard.calls.erase(found);
    return waiting;
}

std::optional<query_number> waiting_calls::number_of(request_id const& id)
{
    for (auto& shard : shards_)
    {
        std::lock_guard const guard(shard.mutex);
        for (auto const& [number, waiting] : shard.calls)
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
