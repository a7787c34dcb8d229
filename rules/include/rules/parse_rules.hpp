// Parser of the operators' rules file. docs/RULES.md describes the grammar.
#ifndef KUMQUATRAMP_RULES_PARSE_RULES_HPP
#define KUMQUATRAMP_RULES_PARSE_RULES_HPP

#include <boost/outcome.hpp>
#include <rules/rule_fault.hpp>
#include <string_view>
#include <vector>

namespace kumquatramp
{

class ruleset;

/// Parses a rules file. Returns the ruleset, or the faults sorted by line (at
/// most max_listed_faults). A single fault refuses the whole text. The result
/// depends on the text alone, so that all hosts come to the same decision.
///
///     auto const parsed = parse_rules(
///         "drain availability_zone tema # Ama Owusu: roof leak\n");
///     parsed.value().drains(zone_name{"tema"}); // true
boost::outcome_v2::unchecked<ruleset, std::vector<rule_fault>>
parse_rules(std::string_view text);

} // namespace kumquatramp

#endif
