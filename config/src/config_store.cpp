// Keeps the highest valid version of each key.
#include <base/rendezvous.hpp>
#include <config/config_store.hpp>
#include <config/value_validator.hpp>
#include <details/delta_history.hpp>
#include <details/refused_list.hpp>
#include <utility>

namespace kumquatramp
{

struct config_store::slot
{
    mutable std::mutex mutex;
    // The members below are guarded by mutex.
    config_stamp stamp; // never decreases
    std::shared_ptr<std::string const> text =
        std::make_shared<std::string const>();
    details::delta_history history; // its newest delta leads to `stamp`
    details::refused_list refused;
};

namespace
{

struct active_value
{
    config_stamp stamp;
    std::shared_ptr<std::string const> text;
};

} // namespace

config_store::config_store(value_validator const& validator)
    : validator_(validator)
{
    for (std::size_t i = 0; i < all_config_keys.size(); ++i)
    {
        slots_.push_back(std::make_unique<slot>());
    }
}

config_store::~config_store() = default;

config_store::slot& config_store::slot_of(config_key key) const
{
    return *slots_[static_cast<std::size_t>(key)];
}

std::optional<config_store::offer_result>
config_store::result_by_stamp(slot const& slot, config_stamp offered)
{
    if (offered == slot.stamp)
    {
        return offer_result::held;
    }
    if (offered < slot.stamp || offered.version == config_version{})
    {
        return offer_result::older;
    }
    if (slot.refused.contains(offered))
    {
        return offer_result::refused;
    }
    return std::nullopt;
}

config_store::offer_result config_store::offer(config_key key,
                                               config_version version,
                                               std::string_view text)
{
    return offer_stamped(key, {version, stable_hash(text)}, text);
}

config_store::offer_result config_store::offer_stamped(config_key key,
                                                       config_stamp offered,
                                                       std::string_view text)
{
    auto& slot = slot_of(key);
    {
        std::lock_guard const guard(slot.mutex);
        if (auto const known = result_by_stamp(slot, offered))
        {
            return *known;
        }
    }
    auto faults = validator_.validate(key, text);
    if (!faults.empty())
    {
        std::lock_guard const guard(slot.mutex);
        slot.refused.add(offered, {key, offered.version, std::move(faults)});
        return offer_result::refused;
    }
    return activate(slot, offered, std::make_shared<std::string>(text));
}

config_store::offer_result
config_store::activate(slot& slot, config_stamp offered,
                       std::shared_ptr<std::string const> text)
{
    std::unique_lock guard(slot.mutex);
    for (;;)
    {
        if (auto const known = result_by_stamp(slot, offered))
        {
            return *known;
        }
        active_value const held{slot.stamp, slot.text};
        guard.unlock();
        auto edits = make_line_delta(*held.text, *text);
        guard.lock();
        // Another offer may have been accepted while the lock was released;
        // the delta then starts from an outdated value.
        if (slot.stamp != held.stamp)
        {
            continue;
        }
        slot.history.add(held.stamp, std::move(edits));
        slot.stamp = offered;
        slot.text = std::move(text);
        slot.refused.drop_up_to(offered.version);
        return offer_result::accepted;
    }
}

result<config_store::offer_result>
config_store::offer(config_update const& update)
{
    auto const& slot = slot_of(update.key);
    active_value held;
    {
        std::lock_guard const guard(slot.mutex);
        if (auto const known = result_by_stamp(slot, update.stamp))
        {
            return *known;
        }
        held = {slot.stamp, slot.text};
    }
    if (update.base && *update.base != held.stamp)
    {
        return failure(error_kind::stale_configuration,
                       "the delta's base is not the active value");
    }
    auto applied = update.base ? apply_line_delta(*held.text, update.edits)
                               : result<std::string>(update.text);
    if (!applied)
    {
        return applied.error();
    }
    if (stable_hash(applied.value()) != update.stamp.hash)
    {
        return failure(
            error_kind::invalid_configuration,
            "the update's text does not match the hash of its stamp");
    }
    return offer_stamped(update.key, update.stamp, applied.value());
}

config_stamp config_store::stamp(config_key key) const
{
    auto const& slot = slot_of(key);
    std::lock_guard const guard(slot.mutex);
    return slot.stamp;
}

std::vector<keyed_stamp> config_store::stamps() const
{
    std::vector<keyed_stamp> all;
    all.reserve(all_config_keys.size());
    for (auto const key : all_config_keys)
    {
        all.push_back({key, stamp(key)});
    }
    return all;
}

std::shared_ptr<std::string const> config_store::text(config_key key) const
{
    auto const& slot = slot_of(key);
    std::lock_guard const guard(slot.mutex);
    return slot.text;
}

config_update config_store::update_since(config_key key,
                                         config_stamp from) const
{
    auto const& slot = slot_of(key);
    config_update update;
    update.key = key;
    std::unique_lock guard(slot.mutex);
    update.stamp = slot.stamp;
    auto const text = slot.text;
    auto edits = from == slot.stamp ? std::vector<line_edit>{}
                                    : slot.history.since(from);
    guard.unlock();
    if (edits && details::size_in_bytes(*edits) < text->size())
    {
        update.base = from;
        update.edits = std::move(*edits);
    }
    else
    {
        update.text = *text;
    }
    return update;
}

std::optional<refused_config> config_store::refused(config_key key) const
{
    auto const& slot = slot_of(key);
    std::lock_guard const guard(slot.mutex);
    return slot.refused.highest_above(slot.stamp.version);
}

} // namespace kumquatramp
