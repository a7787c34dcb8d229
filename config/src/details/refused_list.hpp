// Values that failed validation, kept to avoid validating them again.
#ifndef KUMQUATRAMP_CONFIG_DETAILS_REFUSED_LIST_HPP
#define KUMQUATRAMP_CONFIG_DETAILS_REFUSED_LIST_HPP

#include <config/config_stamp.hpp>
#include <config/refused_config.hpp>
#include <cstddef>
#include <map>
#include <optional>

namespace kumquatramp::details
{

/// The refused values with the highest stamps of one key. Not synchronized.
class refused_list
{
public:
    void add(config_stamp stamp, refused_config refused);

    bool contains(config_stamp stamp) const;

    /// The refused value with the highest version, if above `version`.
    std::optional<refused_config> highest_above(config_version version) const;

    /// Drops the refused values that the accepted version supersedes.
    void drop_up_to(config_version accepted);

private:
    static constexpr std::size_t max_refused = 16;

    std::map<config_stamp, refused_config> refused_; // at most max_refused
};

} // namespace kumquatramp::details

#endif
