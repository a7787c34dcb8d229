// Parses the catalogue.
#include <config/catalogue.hpp>
#include <details/catalogue_reader.hpp>
#include <details/entry_lines.hpp>

namespace kumquatramp
{

boost::outcome_v2::unchecked<catalogue, std::vector<rule_fault>>
parse_catalogue(std::string_view text)
{
    details::fault_list faults;
    details::catalogue_reader reader(faults);
    details::for_each_entry(text, faults,
                            [&reader](details::config_line const& line)
                            { reader.read(line); });
    auto parsed = reader.finish();
    if (!faults.empty())
    {
        return boost::outcome_v2::failure(faults.take());
    }
    return parsed;
}

} // namespace kumquatramp
