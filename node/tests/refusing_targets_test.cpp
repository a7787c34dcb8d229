// A target that refuses immediately because it is draining or lacks the
// snapshot must not be retried in a busy loop, and replies that echo the id of
// another attempt must not be merged.
#include "one_host.hpp"
#include <catch2/catch.hpp>

using namespace kumquatramp;

namespace
{

target_reply refusal(send_attempt const& send, attempt_outcome outcome)
{
    target_reply reply;
    reply.id = send.id;
    reply.outcome = outcome;
    return reply;
}

bool is_first(send_attempt const& send)
{
    return send.target.value().ends_with("-a");
}

int max_sends_to_one_target(one_host const& host)
{
    int max_sends = 0;
    for (auto const& [target, count] : host.sends)
    {
        max_sends = std::max(max_sends, count);
    }
    return max_sends;
}

} // namespace

TEST_CASE("a draining or wrong-snapshot target is asked once per request")
{
    auto const outcome =
        GENERATE(attempt_outcome::draining, attempt_outcome::wrong_snapshot);
    bool const once = GENERATE(false, true);
    CAPTURE(to_string(outcome), once);
    one_host host(
        [outcome](send_attempt const& send)
        {
            return is_first(send) ? refusal(send, outcome)
                                  : one_host::answer_to(send);
        });
    host.warm_up();
    constexpr int requests = 20;
    for (int i = 0; i < requests; ++i)
    {
        auto const answer = host.ask(once, 50ms);
        REQUIRE(answer);
        REQUIRE_FALSE(answer->failed);
    }
    REQUIRE(host.sends[once ? "book-a" : "find-a"] <= requests);
}

TEST_CASE("a request that every target refuses permanently ends as not run")
{
    auto const outcome =
        GENERATE(attempt_outcome::draining, attempt_outcome::wrong_snapshot);
    CAPTURE(to_string(outcome));
    one_host host([outcome](send_attempt const& send)
                  { return refusal(send, outcome); });
    host.warm_up();
    auto const answer = host.ask(true, 2s);
    REQUIRE(answer);
    REQUIRE(answer->failed);
    REQUIRE(answer->state == run_state::not_run);
    REQUIRE(max_sends_to_one_target(host) <= 1);
}

TEST_CASE("an answer that echoes another attempt's id is never merged")
{
    one_host host(
        [](send_attempt const& send)
        {
            auto reply = one_host::answer_to(send);
            reply.echoed->query = query_number{send.id.query.value() + 1};
            reply.payload = "another caller's";
            return reply;
        });
    host.warm_up();
    auto const answer = host.ask(false, 1s);
    REQUIRE(answer);
    REQUIRE(answer->failed);
    REQUIRE(answer->coverage == 0);
}
