// A key of the platform's store and what it holds.
#ifndef KUMQUATRAMP_REGISTRY_STORE_ITEM_HPP
#define KUMQUATRAMP_REGISTRY_STORE_ITEM_HPP

#include <cstdint>
#include <string>
#include <vector>

namespace kumquatramp::registry
{

struct store_item
{
    std::string key;
    std::string value;
    bool deleted = false;
};

/// Items or changes, with the store's revision at the moment of the answer.
struct store_answer
{
    std::vector<store_item> items;
    std::uint64_t revision = 0;
    bool more = false; ///< a listing goes on after its last key
};

/// Why a call gave nothing.
enum class store_failure
{
    unavailable,  ///< no answer, or the store says that it cannot serve
    busy,         ///< over the rate of calls
    history_lost, ///< the changes asked for are no longer kept
};

} // namespace kumquatramp::registry

#endif
