// The timeline of a request is reconstructed from a log.
#include "explain.hpp"
#include <catch2/catch.hpp>
#include <sstream>

namespace kumquatramp
{

namespace
{

std::string event_line(long long at, std::string const& host,
                       std::string const& event, std::string const& subject)
{
    return R"({"unix_ms":)" + std::to_string(at) + R"(,"host":")" + host +
           R"(","event":")" + event + R"(","subject":")" + subject +
           R"(","detail":"d","dropped":0})" + "\n";
}

std::string request_line(long long at, std::string const& host,
                         std::string const& id, std::string const& outcome,
                         std::string const& details)
{
    return R"({"unix_ms":)" + std::to_string(at) + R"(,"host":")" + host +
           R"(","event":"request.failed","id":")" + id + R"(","outcome":")" +
           outcome +
           R"(","route":"r","version":7,"after_ms":120,"shards":10,)"
           R"("missing":1,"details":")" +
           details + R"(","dropped":0})" + "\n";
}

} // namespace

TEST_CASE("a partial answer lists earlier events of the missing shard's target")
{
    std::istringstream log(event_line(1000, "h1", "target.failing", "i-7") +
                           event_line(1100, "h1", "target.full", "i-8") +
                           event_line(1200, "h2", "target.failing", "i-7") +
                           request_line(1500, "h1", "q1", "answered_in_part",
                                        "s3 waiting sent-to i-7"));
    auto const timeline = explain_request(log, "q1");
    REQUIRE(timeline.size() == 2);
    CHECK(timeline[0].event == "target.failing");
    CHECK(timeline[0].host == "h1");
    CHECK(timeline[1].text.find("1 of 10 shards missing") != std::string::npos);
    CHECK(timeline[1].text.find("s3 waiting sent-to i-7") != std::string::npos);
}

TEST_CASE("a request refused under load is reported as not run")
{
    std::istringstream log(
        request_line(1500, "h1", "q2", "overloaded", "s3 lost refused-by i-7"));
    auto const timeline = explain_request(log, "q2");
    REQUIRE(timeline.size() == 1);
    CHECK(timeline[0].text.find("nothing ran") != std::string::npos);
}

TEST_CASE("a request whose answer was lost is reported as possibly run")
{
    std::istringstream log(
        "not a line of the log\n{broken\n" +
        event_line(1000, "h1", "store.lost", "store") +
        request_line(1500, "h1", "q3", "target_failed",
                     "desk lost sent-to i-1, last: connection reset"));
    auto const timeline = explain_request(log, "q3");
    REQUIRE(timeline.size() == 2);
    CHECK(timeline[0].event == "store.lost");
    CHECK(timeline[1].text.find("it may have run") != std::string::npos);
    CHECK(timeline[1].text.find("connection reset") != std::string::npos);
}

TEST_CASE("lines of other requests are not part of the timeline")
{
    std::istringstream log(request_line(1, "h1", "q4", "overloaded", ""));
    CHECK(explain_request(log, "q5").empty());
}

} // namespace kumquatramp
