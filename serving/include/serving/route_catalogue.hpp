// One version of the operator's configuration, compiled for look-ups.
#ifndef KUMQUATRAMP_SERVING_ROUTE_CATALOGUE_HPP
#define KUMQUATRAMP_SERVING_ROUTE_CATALOGUE_HPP

#include <cstdint>
#include <map>
#include <serving/backend_service.hpp>
#include <serving/edge_limits.hpp>
#include <serving/route.hpp>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace kumquatramp::serving
{

/// What a configuration holds, before it is compiled.
struct catalogue_data
{
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::vector<backend_service> services;
    edge_limits limits;
};

/// Immutable; shared by the requests that were admitted under it.
class route_catalogue
{
public:
    explicit route_catalogue(catalogue_data data);

    std::uint64_t version() const { return data_.version; }
    edge_limits const& limits() const { return data_.limits; }

    /// The route with the longest prefix that begins the path, or null. Host
    /// names compare without case and without a port.
    route const* find(std::string_view host, std::string_view path) const;

    /// Null if the configuration does not name the service.
    backend_service const* service(std::string_view name) const;

private:
    catalogue_data data_;
    // Routes of a host, longest prefix first; they point into data_.
    std::unordered_map<std::string, std::vector<route const*>> by_host_;
    std::map<std::string, backend_service const*, std::less<>> by_service_;
};

} // namespace kumquatramp::serving

#endif
