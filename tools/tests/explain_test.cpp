// The story of a request out of a log.
#include "explain.hpp"
#include <catch2/catch.hpp>
#include <sstream>

namespace kumquatramp
{

namespace
{

std::string note(long long at, std::string const& host,
                 std::string const& event, std::string const& subject)
{
    return R"({"unix_ms":)" + std::to_string(at) + R"(,"host":")" + host +
           R"(","event":")" + event + R"(","subject":")" + subject +
           R"(","detail":"d","dropped":0})" + "\n";
}

std::string request(long long at, std::string const& host,
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

TEST_CASE("late with a shard missing: the target's state is told with it")
{
    std::istringstream log(note(1000, "h1", "target.failing", "i-7") +
                           note(1100, "h1", "target.full", "i-8") +
                           note(1200, "h2", "target.failing", "i-7") +
                           request(1500, "h1", "q1", "answered_in_part",
                                   "s3 waiting sent-to i-7"));
    auto const story = explain_request(log, "q1");
    REQUIRE(story.size() == 2);
    CHECK(story[0].event == "target.failing");
    CHECK(story[0].host == "h1");
    CHECK(story[1].text.find("1 of 10 shards missing") != std::string::npos);
    CHECK(story[1].text.find("s3 waiting sent-to i-7") != std::string::npos);
}

TEST_CASE("refused under load: nothing ran")
{
    std::istringstream log(
        request(1500, "h1", "q2", "overloaded", "s3 lost refused-by i-7"));
    auto const story = explain_request(log, "q2");
    REQUIRE(story.size() == 1);
    CHECK(story[0].text.find("nothing ran") != std::string::npos);
}

TEST_CASE("outcome unknown after a lost answer")
{
    std::istringstream log(
        "not a line of the log\n{broken\n" +
        note(1000, "h1", "store.lost", "store") +
        request(1500, "h1", "q3", "target_failed",
                "desk lost sent-to i-1, last: connection reset"));
    auto const story = explain_request(log, "q3");
    REQUIRE(story.size() == 2);
    CHECK(story[0].event == "store.lost");
    CHECK(story[1].text.find("it may have run") != std::string::npos);
    CHECK(story[1].text.find("connection reset") != std::string::npos);
}

TEST_CASE("lines of other requests are no part of the story")
{
    std::istringstream log(request(1, "h1", "q4", "overloaded", ""));
    CHECK(explain_request(log, "q5").empty());
}

} // namespace kumquatramp
