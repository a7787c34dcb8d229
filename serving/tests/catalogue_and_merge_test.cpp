// Route look-up, merging of partial results and the latency estimate.
#include <base/seeded_random.hpp>
#include <catch2/catch.hpp>
#include <map>
#include <serving/latency_estimate.hpp>
#include <serving/part_merge.hpp>
#include <serving/route_catalogue.hpp>

namespace kumquatramp::serving
{

namespace
{

route make_route(std::string name, std::string host, std::string prefix)
{
    route r;
    r.name = std::move(name);
    r.host = std::move(host);
    r.prefix = std::move(prefix);
    r.split = {{"s", 1.0}};
    return r;
}

std::string merged(std::vector<std::string> const& parts, std::size_t count)
{
    std::vector<std::string const*> pointers;
    pointers.reserve(parts.size());
    for (auto const& p : parts)
    {
        pointers.push_back(&p);
    }
    return merge_parts(pointers, count);
}

std::string record(char c)
{
    return std::string(record_bytes - 1, '\x80') + c;
}

} // namespace

TEST_CASE("the route with the longest matching prefix of the host is found")
{
    catalogue_data data;
    data.routes = {make_route("short", "a.example", "/x/"),
                   make_route("long", "a.example", "/x/y/"),
                   make_route("other", "b.example", "/x/y/z/")};
    route_catalogue const c(data);
    CHECK(c.find("a.example", "/x/y/z")->name == "long");
    CHECK(c.find("A.Example:8080", "/x/q?y=/x/y/")->name == "short");
    CHECK(c.find("a.example", "/x?/") == nullptr);
    CHECK(c.find("c.example", "/x/") == nullptr);
}

// Guards against a request that is handled by another route than the one with
// the longest prefix, whatever the order of the routes.
TEST_CASE("the route found is the longest prefix among random routes")
{
    seeded_random random(7);
    std::vector<std::string> const hosts{"a.example", "A.example", "b.example"};
    auto const random_path = [&]
    {
        std::string path = "/";
        for (auto n = random.below(4); n > 0; --n)
        {
            path += std::string(1, static_cast<char>('a' + random.below(2))) +
                    (random.below(3) == 0 ? "x/" : "/");
        }
        return path;
    };
    for (int round = 0; round < 500; ++round)
    {
        std::map<std::string, std::string> longest; // by host and prefix
        catalogue_data data;
        for (int i = 0; i < 12; ++i)
        {
            auto const& host = hosts[random.below(hosts.size())];
            auto const prefix = random_path();
            std::string const key =
                (host == "A.example" ? "a.example" : host) + prefix;
            if (longest.emplace(key, std::to_string(i)).second)
            {
                data.routes.push_back(
                    make_route(std::to_string(i), host, prefix));
            }
        }
        route_catalogue const catalogue(data);
        std::string const path = random_path() + "leaf";
        std::string expected = "none";
        for (std::size_t size = 1; size <= path.size(); ++size)
        {
            auto const it = longest.find("a.example" + path.substr(0, size));
            expected = it == longest.end() ? expected : it->second;
        }
        route const* found = catalogue.find("a.EXAMPLE:80", path + "?q=/b/");
        CAPTURE(path);
        CHECK((found == nullptr ? "none" : found->name) == expected);
    }
}

TEST_CASE("a merge keeps the greatest records in descending order, including "
          "equal ones")
{
    std::string const a = record('a') + record('d');
    std::string const b = record('d') + record('c') + "remainder";
    CHECK(merged({a, b}, 3) == record('d') + record('d') + record('c'));
    CHECK(merged({a, b}, 10).size() == 4 * record_bytes);
    CHECK(merged({"short"}, 5).empty());
    std::string const high(record_bytes, '\xff');
    CHECK(merged({a, high}, 1) == high);
}

TEST_CASE("latency outliers of paused targets do not raise the usual latency")
{
    latency_estimate estimate(150ms);
    for (int i = 0; i < 400; ++i)
    {
        estimate.add(i % 25 == 0 ? duration(220ms) : duration(20ms));
    }
    CHECK(estimate.usual() < 26ms);
    CHECK(estimate.overdue_after() > estimate.usual());
    CHECK(estimate.overdue_after() < 80ms);
}

} // namespace kumquatramp::serving
