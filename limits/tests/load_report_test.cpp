// Guards against load reports that lag or are wrong: they must neither starve
// nor overload a target.
#include "warm_fleet.hpp"
#include <catch2/catch.hpp>

using namespace kumquatramp;

namespace
{

fleet_results with_reports(double load, report_filter report)
{
    warm_fleet fleet{5, load,
                     []
                     {
                         return std::make_unique<gate_limiter>(
                             warm_fleet::slots, warm_fleet::hosts,
                             time_point{1h});
                     },
                     std::move(report)};
    return fleet.run(5s, 20s);
}

/// One attempt at a time from each host, whatever the target reports.
fleet_results with_fixed_limit(double load)
{
    warm_fleet fleet{5, load, [] { return std::make_unique<fixed_limiter>(1); },
                     [](load_report truth) { return truth; }};
    return fleet.run(5s, 20s);
}

} // namespace

TEST_CASE("wrong load reports neither starve nor overload a target")
{
    for (double const load : {0.5, 1.0, 2.0})
    {
        CAPTURE(load);
        auto const fixed = with_fixed_limit(load);
        auto const truth =
            with_reports(load, [](load_report report) { return report; });
        auto const idle = with_reports(load,
                                       [](load_report) {
                                           return load_report{0, 0};
                                       });
        auto const busy = with_reports(load,
                                       [](load_report) {
                                           return load_report{4, 1000000};
                                       });
        // Reported idle: the learned limit alone still protects the target.
        REQUIRE(idle.refusals <= 0.6 * fixed.refusals + 0.001 * fixed.offered);
        REQUIRE(idle.on_time >= 0.97 * truth.on_time);
        // Always reported full: the target still gets its share of the work.
        REQUIRE(busy.on_time >= 0.95 * truth.on_time);
        REQUIRE(busy.refusals <= truth.refusals + 0.01 * truth.offered);
    }
}
