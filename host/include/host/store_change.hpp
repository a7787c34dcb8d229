// Changes that an item of the platform's store can represent.
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

/// An entry that cannot be used because of `reason`; it changes nothing.
struct unusable_entry
{
    std::string reason;
};

/// A configuration that cannot be used because of `reason`; the one in force
/// stays, although the store holds another.
struct unusable_configuration
{
    std::string reason;
};

/// An entry whose key hosts do not use.
struct unrelated_entry
{
};

using store_change =
    std::variant<unrelated_entry, unusable_entry, unusable_configuration,
                 serving::catalogue_data, serving::target_record,
                 target_removed, zone_evacuated, zone_restored>;

} // namespace kumquatramp::host

#endif
