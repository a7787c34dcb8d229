// Bounded list of the faults of one configuration text.
#ifndef KUMQUATRAMP_RULES_DETAILS_FAULT_LIST_HPP
#define KUMQUATRAMP_RULES_DETAILS_FAULT_LIST_HPP

#include <cstddef>
#include <cstdint>
#include <rules/rule_fault.hpp>
#include <string>
#include <vector>

namespace kumquatramp::details
{

/// Collects at most max_listed_faults faults.
class fault_list
{
public:
    /// Adds a fault; does nothing once the list is full().
    void add(std::uint32_t line, std::string reason);

    bool empty() const noexcept { return faults_.empty(); }
    bool full() const noexcept { return faults_.size() >= max_listed_faults; }

    /// Returns the faults sorted by line and leaves the list empty. Faults of
    /// one line keep the order in which they were added.
    std::vector<rule_fault> take();

private:
    std::vector<rule_fault> faults_; // at most max_listed_faults
};

} // namespace kumquatramp::details

#endif
