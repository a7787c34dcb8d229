// Reads the entries of a settings file one by one and collects errors.
#ifndef KUMQUATRAMP_TRANSPORT_DETAILS_SETTINGS_READER_HPP
#define KUMQUATRAMP_TRANSPORT_DETAILS_SETTINGS_READER_HPP

#include <map>
#include <set>
#include <string>
#include <transport/daemon_settings.hpp>
#include <utility>
#include <vector>

namespace kumquatramp
{

class settings_reader
{
public:
    /// Stores one entry, or records an error if it is invalid.
    void read_entry(std::string const& section, std::string const& key,
                    std::string const& value);

    /// Checks required keys and constraints between keys, after all entries.
    void finish();

    daemon_settings const& settings() const noexcept { return settings_; }
    std::vector<settings_fault> const& faults() const noexcept
    {
        return faults_;
    }

private:
    void fault(std::string const& section, std::string const& key,
               std::string reason);
    void require(std::string const& section, std::string const& key);
    void check_fleet_key();
    void check_membership_times();

    daemon_settings settings_;
    std::vector<settings_fault> faults_;
    std::set<std::pair<std::string, std::string>> seen_keys_;
    std::string key_file_;
};

} // namespace kumquatramp

#endif
