// Bounded list of refused values.
#include <details/refused_list.hpp>
#include <iterator>
#include <utility>

namespace kumquatramp::details
{

void refused_list::add(config_stamp stamp, refused_config refused)
{
    refused_.emplace(stamp, std::move(refused));
    if (refused_.size() > max_refused)
    {
        refused_.erase(refused_.begin());
    }
}

bool refused_list::contains(config_stamp stamp) const
{
    return refused_.contains(stamp);
}

std::optional<refused_config>
refused_list::highest_above(config_version version) const
{
    if (refused_.empty() || refused_.rbegin()->first.version <= version)
    {
        return std::nullopt;
    }
    return refused_.rbegin()->second;
}

void refused_list::drop_up_to(config_version accepted)
{
    while (!refused_.empty() && refused_.begin()->first.version <= accepted)
    {
        refused_.erase(refused_.begin());
    }
}

} // namespace kumquatramp::details
