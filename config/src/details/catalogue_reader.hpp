// Parses the catalogue line by line.
#ifndef KUMQUATRAMP_CONFIG_DETAILS_CATALOGUE_READER_HPP
#define KUMQUATRAMP_CONFIG_DETAILS_CATALOGUE_READER_HPP

#include <config/catalogue.hpp>
#include <cstdint>
#include <rules/details/fault_list.hpp>
#include <rules/details/line_reader.hpp>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace kumquatramp::details
{

class entry_fields;

class catalogue_reader
{
public:
    /// `faults` must outlive the reader.
    explicit catalogue_reader(fault_list& faults);

    void read(config_line const& line);

    /// Runs the checks that span several lines and returns the catalogue. Call
    /// once, after the last line.
    catalogue finish();

private:
    void read_service(config_line const& line);
    void read_target(config_line const& line);
    void read_map(config_line const& line, std::size_t word,
                  service_entry& service);
    void read_held_shards(entry_fields& fields, target_entry& target);
    void check_target(target_entry const& target, std::uint32_t line);

    fault_list& faults_;
    catalogue result_;
    std::vector<std::uint32_t> target_lines_; // parallel to result_.targets
    // Number of the line that first defines each name.
    std::unordered_map<service_name, std::uint32_t> service_lines_;
    std::unordered_map<target_name, std::uint32_t> target_name_lines_;
    // Index of each service in result_.services.
    std::unordered_map<service_name, std::size_t> service_positions_;
};

} // namespace kumquatramp::details

#endif
