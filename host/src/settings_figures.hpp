// What parts of a host take from the settings.
#ifndef KUMQUATRAMP_HOST_SETTINGS_FIGURES_HPP
#define KUMQUATRAMP_HOST_SETTINGS_FIGURES_HPP

#include <base/time.hpp>
#include <serving/serving_options.hpp>
#include <string>
#include <vector>

namespace kumquatramp::host
{

struct host_settings;

serving::serving_options options_of(host_settings const& s, time_point started);

/// The IPs of IP:port addresses.
std::vector<std::string> ips_of(std::vector<std::string> const& addresses);

} // namespace kumquatramp::host

#endif
