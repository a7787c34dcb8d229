// Parses the membership list.
#include <config/member_entry.hpp>
#include <details/entry_fields.hpp>
#include <details/entry_lines.hpp>
#include <rules/details/word_values.hpp>
#include <string>
#include <unordered_map>
#include <utility>

namespace kumquatramp
{

namespace
{

class member_reader
{
public:
    explicit member_reader(details::fault_list& faults)
        : faults_(faults)
    {
    }

    void read(details::config_line const& line);
    std::vector<member_entry> finish();

private:
    details::fault_list& faults_;
    std::vector<member_entry> members_;
    std::unordered_map<host_name, std::uint32_t> lines_;
};

void member_reader::read(details::config_line const& line)
{
    if (line.words[0] != "member")
    {
        faults_.add(line.number, "unknown word " +
                                     details::quote_word(line.words[0]) +
                                     "; a line starts with 'member'");
        return;
    }
    details::entry_fields fields(line, faults_);
    fields.check_keys({"availability_zone", "callers", "peers", "state"});
    member_entry member;
    member.name = host_name{fields.entry_name()};
    member.zone = zone_name{fields.name("availability_zone")};
    member.caller_address = fields.address("callers");
    member.peer_address = fields.address("peers");
    member.leaving = fields.flag("state", "leaving", "live");
    auto const [entry, inserted] = lines_.emplace(member.name, line.number);
    if (!inserted)
    {
        fields.fault(details::quote_word(member.name.value()) +
                     " is named on line " + std::to_string(entry->second) +
                     " already");
    }
    members_.push_back(std::move(member));
}

std::vector<member_entry> member_reader::finish()
{
    return std::move(members_);
}

} // namespace

boost::outcome_v2::unchecked<std::vector<member_entry>, std::vector<rule_fault>>
parse_members(std::string_view text)
{
    details::fault_list faults;
    member_reader reader(faults);
    details::for_each_entry(text, faults,
                            [&reader](details::config_line const& line)
                            { reader.read(line); });
    auto members = reader.finish();
    if (!faults.empty())
    {
        return boost::outcome_v2::failure(faults.take());
    }
    return members;
}

} // namespace kumquatramp
