// Parser of the rules file: limits on size and characters, mandatory comments,
// and dispatch of each line to the rule parsers.
#include <algorithm>
#include <rule_parsers.hpp>
#include <rule_scanner.hpp>
#include <rules/details/line_reader.hpp>
#include <rules/details/word_values.hpp>
#include <rules/parse_rules.hpp>
#include <rules/ruleset.hpp>
#include <ruleset_builder.hpp>

namespace kumquatramp
{

namespace
{

// Any byte of a multi-byte UTF-8 character counts as a letter.
bool is_letter(char c)
{
    bool const ascii = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
    return ascii || static_cast<unsigned char>(c) >= 0x80U;
}

// Every rule must have a comment that names who requested it. Only checks that
// the comment starts with a letter.
bool names_requester(std::string_view comment)
{
    return !comment.empty() && is_letter(comment.front());
}

void parse_line(details::config_line const& line, ruleset_builder& rules,
                details::fault_list& faults)
{
    if (line.raw.size() > details::max_line_bytes)
    {
        faults.add(line.number, "the line is longer than " +
                                    std::to_string(details::max_line_bytes) +
                                    " bytes");
        return;
    }
    if (details::has_control_characters(line.raw))
    {
        faults.add(line.number, "the line has a control character");
        return;
    }
    if (!line.has_words())
    {
        return;
    }
    if (!names_requester(line.comment))
    {
        faults.add(line.number, "no comment names who asked; end the rule "
                                "with '# NAME: reason'");
    }
    rule_scanner scanner(line, faults);
    parse_rule(scanner, rules);
}

} // namespace

boost::outcome_v2::unchecked<ruleset, std::vector<rule_fault>>
parse_rules(std::string_view text)
{
    details::fault_list faults;
    if (text.size() > details::max_text_bytes)
    {
        faults.add(1, "the file has " + std::to_string(text.size()) +
                          " bytes; at most " +
                          std::to_string(details::max_text_bytes) +
                          " are allowed");
        return boost::outcome_v2::failure(faults.take());
    }
    ruleset_builder rules(faults);
    details::line_reader reader(text);
    details::config_line line;
    while (!faults.full() && reader.next(line))
    {
        parse_line(line, rules, faults);
    }
    auto parsed = rules.finish();
    if (!faults.empty())
    {
        return boost::outcome_v2::failure(faults.take());
    }
    return parsed;
}

} // namespace kumquatramp
