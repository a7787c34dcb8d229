// Conversions of settings into the options of a host's components.
#ifndef KUMQUATRAMP_HOST_SETTINGS_CONVERSION_HPP
#define KUMQUATRAMP_HOST_SETTINGS_CONVERSION_HPP

#include <base/time.hpp>
#include <serving/serving_options.hpp>
#include <string>
#include <vector>

namespace kumquatramp::host
{

struct host_settings;

/// Returns the options of the request engine; `started` is the start of the
/// host.
serving::serving_options to_serving_options(host_settings const& s,
                                            time_point started);

/// Returns the IPs of IP:port addresses.
std::vector<std::string> extract_ips(std::vector<std::string> const& addresses);

} // namespace kumquatramp::host

#endif
