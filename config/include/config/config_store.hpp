// Stores the active value of each configuration key on one host.
#ifndef KUMQUATRAMP_CONFIG_CONFIG_STORE_HPP
#define KUMQUATRAMP_CONFIG_CONFIG_STORE_HPP

#include <base/result.hpp>
#include <config/config_update.hpp>
#include <config/refused_config.hpp>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace kumquatramp
{

class value_validator;

/// Keeps the highest valid version of each key, regardless of its source, and
/// never reverts to a lower one. Thread-safe.
///
///     config_store store{validator};
///     store.offer(config_key::rules, config_version{4}, text);
///     store.text(config_key::rules); // shared, never null
class config_store
{
public:
    /// Result of an offer.
    enum class offer_result
    {
        accepted, ///< valid and now active
        held,     ///< the same value is already active
        older,    ///< a newer value is active; the source is behind
        refused,  ///< failed validation; see refused()
    };

    /// The validator must outlive the store.
    explicit config_store(value_validator const& validator);
    ~config_store();

    /// Offers a complete value, read from the platform or sent by a peer.
    offer_result offer(config_key key, config_version version,
                       std::string_view text);

    /// Offers an update from a peer. Fails with stale_configuration if it is
    /// a delta whose base is not the active value (the caller should then
    /// request the complete text), and with invalid_configuration if the
    /// edits do not apply or the result does not match the stamp's hash.
    result<offer_result> offer(config_update const& update);

    /// Stamp of the active value; version 0 if there is none.
    config_stamp stamp(config_key key) const;

    /// Stamps of all keys, in the order of all_config_keys.
    std::vector<keyed_stamp> stamps() const;

    /// Text of the active value, never null; empty if there is none.
    std::shared_ptr<std::string const> text(config_key key) const;

    /// The update that brings a host from `from` to the active value: a delta
    /// if `from` is the active value or in the history and the delta is smaller
    /// than the text, else the complete text.
    config_update update_since(config_key key, config_stamp from) const;

    /// The highest refused version above the active one, if any. Cleared once
    /// that version or a higher one is accepted.
    std::optional<refused_config> refused(config_key key) const;

private:
    struct slot;

    slot& slot_of(config_key key) const;
    static std::optional<offer_result> result_by_stamp(slot const& slot,
                                                       config_stamp offered);
    offer_result offer_stamped(config_key key, config_stamp offered,
                               std::string_view text);
    static offer_result activate(slot& slot, config_stamp offered,
                                 std::shared_ptr<std::string const> text);

    value_validator const& validator_;
    // One slot per key, each under its own lock.
    std::vector<std::unique_ptr<slot>> slots_;
};

} // namespace kumquatramp

#endif
