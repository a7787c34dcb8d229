// What an item of the platform's store means.
#ifndef KUMQUATRAMP_HOST_STORE_CHANGE_HPP
#define KUMQUATRAMP_HOST_STORE_CHANGE_HPP

#include <serving/route_catalogue.hpp>
#include <serving/target_record.hpp>
#include <string>
#include <variant>

namespace kumquatramp::host
{

struct target_removed
{
    std::string id;
};

struct zone_evacuated
{
    std::string zone;
};

struct zone_restored
{
    std::string zone;
};

/// An entry that cannot be used, and why; nothing known changes.
struct unusable_entry
{
    std::string why;
};

/// A key that means nothing to a host.
struct unrelated_entry
{
};

using store_change =
    std::variant<unrelated_entry, unusable_entry, serving::catalogue_data,
                 serving::target_record, target_removed, zone_evacuated,
                 zone_restored>;

} // namespace kumquatramp::host

#endif
