// Reads settings with inih; every key is looked up in the settings table.
#include <details/settings_reader.hpp>
#include <details/settings_table.hpp>
#include <fstream>
#include <ini.h>
#include <iterator>
#include <sys/stat.h>
#include <transport/daemon_settings.hpp>
#include <utility>

namespace kumquatramp
{

namespace
{

constexpr std::size_t min_key_bytes = 16;
constexpr mode_t other_users_mask = S_IRWXO;

std::string trimmed(std::string text)
{
    auto const last = text.find_last_not_of(" \t\r\n");
    text.erase(last == std::string::npos ? 0 : last + 1);
    return text;
}

/// inih handler; a nonzero result continues parsing.
int on_ini_entry(void* reader, char const* section, char const* key,
                 char const* value)
{
    static_cast<settings_reader*>(reader)->read_entry(section, key, value);
    return 1;
}

} // namespace

void settings_reader::fault(std::string const& section, std::string const& key,
                            std::string reason)
{
    faults_.push_back({section, key, std::move(reason)});
}

void settings_reader::read_entry(std::string const& section,
                                 std::string const& key,
                                 std::string const& value)
{
    if (!seen_keys_.insert({section, key}).second)
    {
        fault(section, key, "given twice");
        return;
    }
    if (section == "fleet" && key == "key")
    {
        settings_.node.fleet_key = value;
        return;
    }
    if (section == "fleet" && key == "key_file")
    {
        key_file_ = value;
        return;
    }
    auto const* const row = find_setting(section, key);
    if (row == nullptr)
    {
        fault(section, key, "unknown key");
        return;
    }
    auto reason = row->store(settings_, value);
    if (!reason.empty())
    {
        fault(section, key, std::move(reason));
    }
}

void settings_reader::require(std::string const& section,
                              std::string const& key)
{
    if (!seen_keys_.contains({section, key}))
    {
        fault(section, key, "missing");
    }
}

void settings_reader::finish()
{
    for (auto const& row : settings_table())
    {
        if (row.required)
        {
            require(std::string(row.section), std::string(row.key));
        }
    }
    check_fleet_key();
    check_membership_times();
    settings_.caller_port.limits.max_message_bytes =
        settings_.caller_port.max_body_bytes +
        settings_.caller_port.limits.max_head_bytes;
    settings_.node.self.caller_address = to_string(settings_.callers);
    settings_.node.self.peer_address = to_string(settings_.peers);
}

void settings_reader::check_fleet_key()
{
    bool const in_file = seen_keys_.contains({"fleet", "key_file"});
    if (in_file == seen_keys_.contains({"fleet", "key"}))
    {
        fault("fleet", "key_file", "give either key_file or key");
        return;
    }
    if (in_file)
    {
        struct stat status = {};
        if (::stat(key_file_.c_str(), &status) != 0)
        {
            fault("fleet", "key_file", "cannot be read");
            return;
        }
        if ((status.st_mode & other_users_mask) != 0)
        {
            fault("fleet", "key_file", "must not be open to other users");
            return;
        }
        std::ifstream file(key_file_);
        settings_.node.fleet_key =
            trimmed({std::istreambuf_iterator<char>(file), {}});
    }
    if (settings_.node.fleet_key.size() < min_key_bytes)
    {
        fault("fleet", in_file ? "key_file" : "key",
              "the key must have at least 16 characters");
    }
}

void settings_reader::check_membership_times()
{
    auto const& times = settings_.node.membership;
    if (times.steward_hold_off <= 2 * (times.view_lifetime + times.round))
    {
        fault("membership", "steward_hold_off_ms",
              "must be above twice the sum of view_lifetime_ms and round_ms");
    }
    if (times.death_time <= times.suspicion_time)
    {
        fault("membership", "death_time_ms", "must be above suspicion_time_ms");
    }
}

std::string to_string(settings_fault const& fault, std::string_view file)
{
    return std::string(file) + ": [" + fault.section + "] " + fault.key + ": " +
           fault.reason;
}

boost::outcome_v2::unchecked<daemon_settings, std::vector<settings_fault>>
parse_settings(std::string const& text)
{
    settings_reader reader;
    auto const line = ini_parse_string(text.c_str(), on_ini_entry, &reader);
    if (line > 0)
    {
        return std::vector<settings_fault>{
            {"", "", "line " + std::to_string(line) + " is not INI"}};
    }
    reader.finish();
    if (!reader.faults().empty())
    {
        return reader.faults();
    }
    return reader.settings();
}

} // namespace kumquatramp
