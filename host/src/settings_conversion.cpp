// Implements the conversions of settings.
#include "settings_conversion.hpp"
#include <host/host_settings.hpp>

namespace kumquatramp::host
{

namespace
{

std::string extract_ip(std::string const& address)
{
    return address.substr(0, address.rfind(':'));
}

} // namespace

std::vector<std::string> extract_ips(std::vector<std::string> const& addresses)
{
    std::vector<std::string> ips;
    ips.reserve(addresses.size());
    for (auto const& a : addresses)
    {
        ips.push_back(extract_ip(a));
    }
    return ips;
}

serving::serving_options to_serving_options(host_settings const& s,
                                            time_point started)
{
    serving::serving_options o;
    o.started = started;
    o.told_share = s.told_share;
    o.retry_ratio = s.retry_ratio;
    o.retry_slack = s.retry_slack;
    o.retry_window = s.retry_window;
    return o;
}

} // namespace kumquatramp::host
