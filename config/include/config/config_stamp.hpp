// Identifies the value of a configuration key that a host holds.
#ifndef KUMQUATRAMP_CONFIG_CONFIG_STAMP_HPP
#define KUMQUATRAMP_CONFIG_CONFIG_STAMP_HPP

#include <base/ids.hpp>
#include <compare>
#include <config/config_key.hpp>
#include <cstdint>

namespace kumquatramp
{

/// Version and content hash of a value. The platform assigns each version to
/// one text only. If two texts nevertheless carry the same version, the higher
/// hash wins on every host, so that the fleet still converges. Version 0 means
/// no value.
struct config_stamp
{
    config_version version;
    std::uint64_t hash = 0;

    friend auto operator<=>(config_stamp const&, config_stamp const&) = default;
};

/// A stamp with its key, as exchanged between hosts.
struct keyed_stamp
{
    config_key key = config_key::rules;
    config_stamp stamp;

    friend bool operator==(keyed_stamp const&, keyed_stamp const&) = default;
};

} // namespace kumquatramp

#endif
