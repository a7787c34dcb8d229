// Indexes a configuration and finds the route of a request.
#include <algorithm>
#include <cctype>
#include <serving/route_catalogue.hpp>

namespace kumquatramp::serving
{

namespace
{

std::string host_key(std::string_view host)
{
    if (auto const colon = host.rfind(':'); colon != std::string_view::npos)
    {
        host = host.substr(0, colon);
    }
    std::string key(host);
    std::transform(key.begin(), key.end(), key.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    return key;
}

} // namespace

route_catalogue::route_catalogue(catalogue_data data)
    : data_(std::move(data))
{
    for (route const& r : data_.routes)
    {
        by_host_[host_key(r.host)].push_back(&r);
    }
    for (auto& [host, routes] : by_host_)
    {
        std::stable_sort(routes.begin(), routes.end(),
                         [](route const* a, route const* b)
                         { return a->prefix.size() > b->prefix.size(); });
    }
    for (backend_service const& s : data_.services)
    {
        by_service_[s.name] = &s;
    }
}

route const* route_catalogue::find(std::string_view host,
                                   std::string_view path) const
{
    auto const found = by_host_.find(host_key(host));
    if (found == by_host_.end())
    {
        return nullptr;
    }
    path = path.substr(0, path.find('?'));
    for (route const* r : found->second)
    {
        if (path.starts_with(r->prefix))
        {
            return r;
        }
    }
    return nullptr;
}

int route_catalogue::unusable_routes() const
{
    return data_.unreadable_routes +
           static_cast<int>(
               std::count_if(data_.routes.begin(), data_.routes.end(),
                             [](route const& r) { return r.unusable(); }));
}

backend_service const* route_catalogue::service(std::string_view name) const
{
    auto const found = by_service_.find(name);
    return found == by_service_.end() ? nullptr : found->second;
}

} // namespace kumquatramp::serving
