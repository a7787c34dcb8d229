// The "key value" pairs that follow the name of an entry in a platform value.
#ifndef KUMQUATRAMP_CONFIG_DETAILS_ENTRY_FIELDS_HPP
#define KUMQUATRAMP_CONFIG_DETAILS_ENTRY_FIELDS_HPP

#include <base/time.hpp>
#include <cstdint>
#include <initializer_list>
#include <rules/details/fault_list.hpp>
#include <rules/details/line_reader.hpp>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace kumquatramp::details
{

/// Parses the pairs of one line and adds a fault for each that is missing,
/// duplicate, unknown or malformed. After a fault the getters return a harmless
/// value, so that the other faults of the line are reported as well.
class entry_fields
{
public:
    /// Both arguments must outlive this object.
    entry_fields(config_line const& line, fault_list& faults);

    /// Adds a fault for each key that is not in `known` and for each duplicate
    /// key.
    void check_keys(std::initializer_list<std::string_view> known);

    /// The name of the entry, which is the second word of the line.
    std::string entry_name();

    std::string name(std::string_view key);
    std::string address(std::string_view key);
    std::uint64_t count(std::string_view key, std::uint64_t min_value,
                        std::uint64_t max_value);
    duration time(std::string_view key, duration default_value);

    /// Returns whether the value is `true_word`; false if the key is absent.
    /// Adds a fault if it is neither `true_word` nor `false_word`.
    bool flag(std::string_view key, std::string_view true_word,
              std::string_view false_word);

    /// The value. If it is missing, adds a fault and returns an empty view.
    std::string_view required(std::string_view key);

    /// The value, or an empty view if it is missing.
    std::string_view optional(std::string_view key) const;

    void fault(std::string reason);

private:
    using field = std::pair<std::string_view, std::string_view>;

    config_line const& line_;
    fault_list& faults_;
    std::vector<field> fields_;
};

/// Whether the text is a numeric IPv4 or bracketed IPv6 address with a port.
bool is_address(std::string_view text);

} // namespace kumquatramp::details

#endif
