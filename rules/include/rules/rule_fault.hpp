// A fault in a line-based configuration text.
#ifndef KUMQUATRAMP_RULES_RULE_FAULT_HPP
#define KUMQUATRAMP_RULES_RULE_FAULT_HPP

#include <cstddef>
#include <cstdint>
#include <string>

namespace kumquatramp
{

/// Why a line was refused.
struct rule_fault
{
    std::uint32_t line = 0; ///< counted from 1
    std::string reason;     ///< one sentence that quotes the faulty word

    friend bool operator==(rule_fault const&, rule_fault const&) = default;
};

/// Maximum number of faults reported for one text. Parsing stops there, since
/// the text is refused in any case.
inline constexpr std::size_t max_listed_faults = 100;

} // namespace kumquatramp

#endif
