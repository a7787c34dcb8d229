// Scanner over the words of one line of the rules file.
#ifndef KUMQUATRAMP_RULES_RULE_SCANNER_HPP
#define KUMQUATRAMP_RULES_RULE_SCANNER_HPP

#include <base/time.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <rules/details/fault_list.hpp>
#include <rules/details/line_reader.hpp>
#include <string>
#include <string_view>

namespace kumquatramp
{

/// Consumes the words of a rule from left to right. Adds a fault for the first
/// unexpected word; afterwards peek() returns an empty word and the scanner
/// adds no further fault.
class rule_scanner
{
public:
    /// Keeps references: `line` and `faults` must outlive the scanner.
    rule_scanner(details::config_line const& line, details::fault_list& faults);

    /// False once the scanner has added a fault.
    bool ok() const noexcept { return ok_; }
    std::uint32_t line_number() const noexcept { return line_.number; }

    /// Returns the next word without consuming it; empty at the end of the
    /// line and after a fault.
    std::string_view peek() const;

    /// Consumes the next word if it equals `word`; adds a fault otherwise.
    void expect(std::string_view word);

    /// Consumes the next word and returns true if it equals `word`.
    bool accept(std::string_view word);

    /// Consumes a name; empty with a fault if the next word is not one.
    /// `what` describes the named thing in the fault, e.g. "a service".
    std::string take_name(std::string_view what);

    /// The following consume a value. If the next word is malformed or out of
    /// the bounds, they add a fault and return the lower bound.
    std::uint64_t take_count(std::uint64_t min_value, std::uint64_t max_value);
    duration take_duration(duration min_value, duration max_value);
    double take_percentage(); ///< as a share from 0 to 1
    double take_rate();       ///< per second

    /// Adds a fault if words remain.
    void expect_end();

    /// Adds a fault for the next word (or for its absence) that says what
    /// was expected. Does nothing if the scanner has already added a fault.
    void reject(std::string_view expected);

private:
    // Consumes the next word, whose parsed value is `value`, if it is within
    // the bounds; otherwise adds a fault and returns `min_value`.
    template <class Value>
    Value take_bounded(std::optional<Value> value, Value min_value,
                       Value max_value, std::string const& expected);

    details::config_line const& line_;
    details::fault_list& faults_;
    std::size_t next_ = 0; // position in line_.words
    bool ok_ = true;       // false once the scanner has added a fault
};

} // namespace kumquatramp

#endif
