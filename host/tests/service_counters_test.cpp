// Tests of the text format of counters and histograms.
#include <catch2/catch.hpp>
#include <host/service_counters.hpp>

namespace kumquatramp::host
{

TEST_CASE("histogram buckets are cumulative and each line carries the label")
{
    latency_histogram histogram;
    histogram.add(800us);
    histogram.add(30ms);
    histogram.add(9s);
    std::string text;
    histogram.print(text, "request_seconds", "type=\"query\"");
    auto const has = [&](std::string const& line)
    { return text.find(line + "\n") != std::string::npos; };
    CAPTURE(text);
    CHECK(has("kumquatramp_request_seconds_bucket{type=\"query\",le=\"0.001\"}"
              " 1"));
    CHECK(has("kumquatramp_request_seconds_bucket{type=\"query\",le=\"0.05\"}"
              " 2"));
    CHECK(has("kumquatramp_request_seconds_bucket{type=\"query\",le=\"5\"} 2"));
    CHECK(has("kumquatramp_request_seconds_bucket{type=\"query\",le=\"+Inf\"}"
              " 3"));
    CHECK(has("kumquatramp_request_seconds_count{type=\"query\"} 3"));
    text.clear();
    histogram.print(text, "send_seconds");
    CHECK(has("kumquatramp_send_seconds_bucket{le=\"0.001\"} 1"));
    CHECK(has("kumquatramp_send_seconds_count 3"));
}

TEST_CASE(
    "errors are counted by reason, split by whether the request may have run")
{
    service_counters counters;
    counters.count_error(error_kind::overloaded);
    counters.count_error(error_kind::overloaded);
    counters.count_error(error_kind::target_failed);
    std::string text;
    counters.print(text);
    auto const has = [&](std::string const& line)
    { return text.find(line + "\n") != std::string::npos; };
    CAPTURE(text);
    CHECK(has("kumquatramp_requests_refused_total{reason=\"overloaded\"} 2"));
    CHECK(has("kumquatramp_requests_failed_total{reason=\"target_failed\"} 1"));
    CHECK(text.find("unknown_path") == std::string::npos);
}

} // namespace kumquatramp::host
