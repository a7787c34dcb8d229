// Bounded collection of faults, sorted by line when it is taken.
#include <algorithm>
#include <rules/details/fault_list.hpp>
#include <utility>

namespace kumquatramp::details
{

void fault_list::add(std::uint32_t line, std::string reason)
{
    if (!full())
    {
        faults_.push_back({line, std::move(reason)});
    }
}

std::vector<rule_fault> fault_list::take()
{
    std::stable_sort(faults_.begin(), faults_.end(),
                     [](auto const& a, auto const& b)
                     { return a.line < b.line; });
    return std::exchange(faults_, {});
}

} // namespace kumquatramp::details
