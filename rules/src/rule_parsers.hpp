// Parsers of the single rules, one per kind of rule.
#ifndef KUMQUATRAMP_RULES_RULE_PARSERS_HPP
#define KUMQUATRAMP_RULES_RULE_PARSERS_HPP

namespace kumquatramp
{

class rule_scanner;
class ruleset_builder;

/// Parses one rule and adds it to the builder; adds a fault if the line is not
/// a valid rule.
void parse_rule(rule_scanner& scanner, ruleset_builder& rules);

} // namespace kumquatramp

#endif
