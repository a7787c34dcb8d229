// Sums over hosts of the sends to a cold target.
#include <algorithm>
#include <catch2/catch.hpp>
#include <serving/warmup_share.hpp>
#include <vector>

namespace kumquatramp::serving
{

namespace
{

/// Sends of hosts that all want to send all the time, in order.
std::vector<time_point> sends_of_fleet(double rate, int hosts, duration length)
{
    std::vector<warmup_share> shares;
    shares.reserve(static_cast<std::size_t>(hosts));
    for (int i = 0; i < hosts; ++i)
    {
        shares.emplace_back(std::to_string(i));
    }
    std::vector<time_point> sends;
    time_point const start(1h);
    for (time_point now = start; now < start + length; now += 20ms)
    {
        for (int rank = 0; rank < hosts; ++rank)
        {
            if (shares[static_cast<std::size_t>(rank)].spend("t", rate, rank,
                                                             hosts, now))
            {
                sends.push_back(now);
            }
        }
    }
    return sends;
}

} // namespace

// Guards against a small rate that lets a cold target receive nothing.
TEST_CASE("the sends to a cold target use its rate and keep to it")
{
    int const hosts = GENERATE(1, 15, 106, 195);
    double const rate = GENERATE(0.2, 0.5, 0.9, 1.0, 2.5, 30.0);
    CAPTURE(hosts, rate);
    auto const sends = sends_of_fleet(rate, hosts, 40s);
    CHECK(static_cast<double>(sends.size()) >= 0.5 * rate * 40);
    std::size_t most = 0;
    for (auto from = sends.begin(); from != sends.end(); ++from)
    {
        auto const end = std::find_if(
            from, sends.end(), [&](time_point at) { return at >= *from + 1s; });
        most = std::max(most, static_cast<std::size_t>(end - from));
    }
    CHECK(static_cast<double>(most) <= rate * 1.5 + 5.0);
}

} // namespace kumquatramp::serving
