// Items, answers and failures of the platform's store.
#ifndef KUMQUATRAMP_REGISTRY_STORE_ITEM_HPP
#define KUMQUATRAMP_REGISTRY_STORE_ITEM_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace kumquatramp::registry
{

/// A key and its value, or the deletion of the key.
struct store_item
{
    std::string key;
    std::string value;
    bool deleted = false;
};

/// Position in the store's history: the changes up to `revision`. A store that
/// is restored from a copy starts another era, in which it assigns revisions
/// again; revisions of different eras cannot be compared.
struct store_position
{
    std::optional<std::uint64_t> era{}; ///< empty: the store has not stated one
    std::uint64_t revision = 0;
};

/// Listed items or changes, with the store's revision at the time of the
/// answer.
struct store_answer
{
    std::vector<store_item> items;
    std::uint64_t revision = 0;
    bool more = false; ///< the listing continues after the last key
};

/// Why a call failed.
enum class store_failure
{
    unavailable,  ///< no answer, or the store cannot serve
    interrupted,  ///< the connection ended before the first byte of an answer
    busy,         ///< call rate limit exceeded
    history_lost, ///< the requested changes are no longer kept
    unusable,     ///< the answer is too large or cannot be read
};

} // namespace kumquatramp::registry

#endif
