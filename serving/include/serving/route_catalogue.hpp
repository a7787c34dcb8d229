// One version of the operator's configuration, indexed for look-ups.
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

/// Contents of a configuration, before indexing.
struct catalogue_data
{
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::vector<backend_service> services;
    edge_limits limits;
    /// Routes that are left out, since what they match could not be read.
    int unreadable_routes = 0;

    bool operator==(catalogue_data const&) const = default;
};

/// Immutable. Each request keeps the version under which it was admitted.
class route_catalogue
{
public:
    explicit route_catalogue(catalogue_data data);

    std::uint64_t version() const { return data_.version; }
    edge_limits const& limits() const { return data_.limits; }
    /// Routes that requests cannot use: unreadable or with an unreadable
    /// destination.
    int unusable_routes() const;
    /// Whether both have the same version, routes, services and limits.
    bool same_as(route_catalogue const& other) const
    {
        return data_ == other.data_;
    }

    /// The route of the host with the longest prefix that matches the path, or
    /// null. Host names compare case-insensitively and without the port.
    route const* find(std::string_view host, std::string_view path) const;

    /// The service of this name, or null if the configuration has none.
    backend_service const* service(std::string_view name) const;

private:
    catalogue_data data_;
    // Routes by host, longest prefix first; the pointers refer to data_.
    std::unordered_map<std::string, std::vector<route const*>> by_host_;
    std::map<std::string, backend_service const*, std::less<>> by_service_;
};

} // namespace kumquatramp::serving

#endif
