// Enforces the limits that apply to every line of a platform value.
#include <config/platform_validator.hpp>
#include <details/entry_lines.hpp>
#include <rules/details/word_values.hpp>
#include <string>

namespace kumquatramp::details
{

void for_each_entry(std::string_view text, fault_list& faults,
                    std::function<void(config_line const&)> const& read_entry)
{
    if (text.size() > max_value_bytes)
    {
        faults.add(1, "the text has " + std::to_string(text.size()) +
                          " bytes; at most " + std::to_string(max_value_bytes) +
                          " are allowed");
        return;
    }
    line_reader reader(text);
    config_line line;
    while (!faults.full() && reader.next(line))
    {
        if (line.raw.size() > max_line_bytes)
        {
            faults.add(line.number, "the line is longer than " +
                                        std::to_string(max_line_bytes) +
                                        " bytes");
        }
        else if (has_control_characters(line.raw))
        {
            faults.add(line.number, "the line has a control character");
        }
        else if (line.has_words())
        {
            read_entry(line);
        }
    }
}

} // namespace kumquatramp::details
