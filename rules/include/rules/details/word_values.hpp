// Parsers of the values in a configuration text: names, numbers, durations,
// percentages and rates, each of one word.
#ifndef KUMQUATRAMP_RULES_DETAILS_WORD_VALUES_HPP
#define KUMQUATRAMP_RULES_DETAILS_WORD_VALUES_HPP

#include <base/time.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace kumquatramp::details
{

inline constexpr std::size_t max_text_bytes = 1'000'000;
inline constexpr std::size_t max_line_bytes = 1024;
inline constexpr std::size_t max_name_bytes = 64;

/// Whether the word is a valid name: 1 to max_name_bytes of a-z, 0-9 and "-".
bool is_name(std::string_view word) noexcept;

/// Parses a whole number in decimal digits; nothing if it exceeds 64 bits.
std::optional<std::uint64_t> parse_count(std::string_view word) noexcept;

/// Parses a decimal number with at most three decimal places and returns it in
/// thousandths. Without floating point, all hosts get the same value.
std::optional<std::uint64_t> parse_thousandths(std::string_view word) noexcept;

/// Parses a number with the unit ms, s or min, e.g. "150ms" or "1.5s".
std::optional<duration> parse_duration(std::string_view word) noexcept;

/// Parses a percentage as a share: "99.9%" is 0.999. Nothing if over 100%.
std::optional<double> parse_percentage(std::string_view word) noexcept;

/// Parses a rate in events per second, e.g. "50/s" or "0.5/s".
std::optional<double> parse_rate(std::string_view word) noexcept;

/// The word in single quotes, for use in a fault's reason. It is truncated to
/// 40 bytes, and bytes outside printable ASCII are replaced by "?".
std::string quote_word(std::string_view word);

} // namespace kumquatramp::details

#endif
