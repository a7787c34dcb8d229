// Tests of the counts, windows and alerts, and of the JSON and HTML forms of
// the burn report.
#include <burn/burn_rate_tracker.hpp>
#include <burn/render_burn.hpp>
#include <catch2/catch.hpp>

using namespace kumquatramp;
using std::chrono::hours;
using std::chrono::minutes;

namespace
{

service_name const stock{"stock-finder"};

// Records one event per second over [from, to); `bad` of every 100 are bad.
void run_traffic(burn_rate_tracker& tracker, time_point from, time_point to,
                 int bad)
{
    int event_index = 0;
    for (auto now = from; now < to; now += 1s)
    {
        tracker.record(stock, event_index++ % 100 >= bad, now);
    }
}

} // namespace

TEST_CASE("a high burn rate pages until it drops, and the budget stays spent",
          "[burn]")
{
    burn_rate_tracker tracker;
    tracker.set_objective(stock, 0.99, 300ms);
    time_point const start{hours(100)};
    run_traffic(tracker, start, start + hours(6), 0);
    CHECK(alert_of(tracker.report(start + hours(6)).at(0)) == burn_alert::none);

    run_traffic(tracker, start + hours(6), start + hours(7), 20);
    auto const during = tracker.report(start + hours(7) - 1s).at(0);
    CHECK(burn_rate(during, burn_window::minutes_5) == Approx(20).margin(1.5));
    CHECK(burn_rate(during, burn_window::hour_1) == Approx(20).margin(0.5));
    CHECK(alert_of(during) == burn_alert::page);

    run_traffic(tracker, start + hours(7), start + hours(7) + minutes(6), 0);
    auto const after = tracker.report(start + hours(7) + minutes(6)).at(0);
    CHECK(burn_rate(after, burn_window::hour_1) > 14.4);
    CHECK(alert_of(after) != burn_alert::page);
    CHECK(budget_left(after) < 0);

    auto const next_day = tracker.report(start + hours(32)).at(0);
    CHECK(next_day.counts(burn_window::day).total() == 0);
    CHECK(budget_left(next_day) == 1.0);
}

TEST_CASE("a moderate burn rate raises a ticket and does not page", "[burn]")
{
    burn_rate_tracker tracker;
    tracker.set_objective(stock, 0.99, 300ms);
    time_point const start{hours(1)};
    run_traffic(tracker, start, start + hours(6), 8);
    CHECK(alert_of(tracker.report(start + hours(6)).at(0)) ==
          burn_alert::ticket);
}

TEST_CASE("JSON reports of several hosts are parsed and summed", "[burn]")
{
    time_point const now{hours(3)};
    std::vector<std::vector<burn_row>> parsed;
    for (int host = 0; host < 3; ++host)
    {
        burn_rate_tracker tracker;
        tracker.set_objective(stock, 0.9 + 0.03 * host, 300ms);
        run_traffic(tracker, now - minutes(10), now, 10 * host);
        auto const rows =
            parse_burn_json(render_burn_json(tracker.report(now)));
        REQUIRE(rows);
        CHECK(rows.value() == tracker.report(now));
        parsed.push_back(rows.value());
    }
    auto const sum = add_burn_rows(parsed).at(0);
    CHECK(sum.hosts == 3);
    CHECK(sum.objective == 0.96);
    CHECK(sum.counts(burn_window::hour_1) == burn_counts{1620, 180});
}

TEST_CASE("malformed burn reports are refused", "[burn]")
{
    for (auto const* text :
         {"", "[", "[]", "{}", R"({"services":1})", R"({"services":[{}]})",
          R"({"services":[{"service":"a","objective":"x"}]})"})
    {
        CHECK_FALSE(parse_burn_json(text));
    }
    CHECK_FALSE(parse_burn_json(std::string(100000, '[')));
}

TEST_CASE("the HTML page is self-contained and escapes names", "[burn]")
{
    burn_rate_tracker tracker;
    tracker.record(service_name{"<script>"}, false, time_point{hours(1)});
    auto const page = render_burn_html(tracker.report(time_point{hours(1)}),
                                       "Accra & <others>");
    CHECK(page.find("<script>") == std::string::npos);
    CHECK(page.find("Accra &amp; &lt;others&gt;") != std::string::npos);
    CHECK(page.find("<svg") != std::string::npos);
    CHECK(page.find("http") == std::string::npos);
    CHECK(page.find("src=") == std::string::npos);
}
