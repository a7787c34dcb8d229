// At-most-once execution: random interleavings over two incarnations of one
// host, checked against a record of the sends and of the replies to callers.
#include <base/testing/random_run.hpp>
#include <catch2/catch.hpp>
#include <optional>
#include <requests/request_ledger.hpp>
#include <target_record.hpp>

using namespace kumquatramp;

namespace
{

constexpr ledger_options small{64, 400, 12s, 120s};

// Two incarnations of one host name that run at the same time: one that was
// paused and replaced, and its successor. Callers present each id to either
// of them, any number of times.
class incarnation_pair
{
public:
    void step(std::uint64_t seed)
    {
        random_.emplace(seed);
        now_ += std::chrono::milliseconds(random_->below(400));
        if (ids_.empty() || random_->below(8) == 0)
        {
            issue(ledgers_[random_->below(2)]);
            return;
        }
        auto const& id = pick();
        bool const foreign = random_->below(4) == 0;
        auto const life = foreign ? 1 - id.life.value() : id.life.value();
        run_action(ledgers_[life], id);
    }

    std::string fault() const
    {
        auto const& faults = record_.faults();
        return faults.empty() ? std::string() : faults.front();
    }

    std::vector<std::string> const& log() const { return log_; }
    int sends() const { return sends_; }

private:
    void run_action(request_ledger& ledger, request_id const& id)
    {
        auto const choice = random_->below(16);
        if (choice < 4)
        {
            admit(ledger, id);
        }
        else if (choice < 9)
        {
            send(ledger, id);
        }
        else if (choice < 11)
        {
            log_step("ask for the outcome of", id, ledger);
            record_.reported(id, ledger.outcome(id, stale_now()));
        }
        else if (choice < 13)
        {
            deliver_answer(id);
        }
        else if (choice == 13)
        {
            cancel(ledger, id);
        }
        else if (choice == 14)
        {
            pass_deadline(ledger, id);
        }
        else
        {
            log_.emplace_back("expire");
            ledger.expire(stale_now());
            pass_old_deadline();
        }
    }

    void log_step(std::string const& what, request_id const& id,
                  request_ledger const& ledger)
    {
        log_.push_back(what + " " + std::to_string(id.life.value()) + "." +
                       std::to_string(id.sequence) + " at incarnation " +
                       std::to_string(&ledger - ledgers_));
    }

    void issue(request_ledger& ledger)
    {
        auto const id = ledger.issue(stale_now());
        if (id)
        {
            log_step("issue", id.value(), ledger);
            ids_.push_back(id.value());
        }
    }

    void admit(request_ledger& ledger, request_id const& id)
    {
        log_step("admit", id, ledger);
        auto const admitted = ledger.admit(id, stale_now());
        if (!admitted)
        {
            record_.refused(id, admitted.error().kind);
        }
    }

    // Sends the request. The target refuses one in three before execution; the
    // others are answered later or never.
    void send(request_ledger& ledger, request_id const& id)
    {
        if (!ledger.begin_send(id, stale_now()))
        {
            return;
        }
        log_step("send", id, ledger);
        ++sends_;
        record_.sent(id);
        if (random_->below(3) == 0)
        {
            log_step("return", id, ledger);
            record_.returned(id);
            ledger.return_unsent(id);
        }
    }

    void cancel(request_ledger& ledger, request_id const& id)
    {
        log_step("cancel", id, ledger);
        if (ledger.cancel(id, stale_now()))
        {
            record_.reported_not_run(id);
        }
    }

    // The deadline passes. A request that still waits certainly has not run.
    void pass_deadline(request_ledger& ledger, request_id const& id)
    {
        log_step("pass the deadline of", id, ledger);
        auto const state = ledger.outcome(id, stale_now()).state;
        if (state == request_state::waiting)
        {
            ledger.finish_not_run(id, error_kind::deadline_exceeded,
                                  stale_now());
        }
        if (state == request_state::sent)
        {
            ledger.finish_unknown(id, error_kind::outcome_unknown, stale_now());
        }
    }

    // The deadline of a request that was issued some time ago passes.
    void pass_old_deadline()
    {
        auto const back = std::min<std::size_t>(ids_.size(), 20);
        auto const& old = ids_[ids_.size() - back];
        pass_deadline(ledgers_[old.life.value()], old);
    }

    // An answer arrives at the incarnation that sent the request, before or
    // after the deadline.
    void deliver_answer(request_id const& id)
    {
        auto& ledger = ledgers_[id.life.value()];
        log_step("answer", id, ledger);
        auto const state = ledger.outcome(id, stale_now()).state;
        if (state == request_state::sent || state == request_state::unknown)
        {
            ledger.finish_ran(id, std::string(random_->below(60), 'r'),
                              stale_now());
        }
    }

    // Mostly recent ids, so that operations on the same id interleave;
    // sometimes any id, including evicted ones.
    request_id const& pick()
    {
        auto const recent = std::min<std::size_t>(ids_.size(), 12);
        auto const range = random_->below(8) == 0 ? ids_.size() : recent;
        return ids_[ids_.size() - 1 - random_->below(range)];
    }

    // The clock reading of a thread that acts up to 20 s after it.
    time_point stale_now()
    {
        return now_ - std::chrono::milliseconds(random_->below(20'000));
    }

    std::optional<seeded_random> random_; // of the current step
    request_ledger ledgers_[2] = {
        {host_name{"osu-1"}, incarnation{0}, small},
        {host_name{"osu-1"}, incarnation{1}, small},
    };
    std::vector<request_id> ids_;
    target_record record_;
    std::vector<std::string> log_;
    time_point now_{1h};
    int sends_ = 0;
};

request_ledger make_ledger(ledger_options options = {})
{
    return {host_name{"osu-1"}, incarnation{7}, options};
}

} // namespace

TEST_CASE("no interleaving runs an id twice or reports a run id as 'not run'")
{
    auto const seed = GENERATE(range(1, 41));
    incarnation_pair run;
    auto const failure =
        testing::find_failure(run, static_cast<std::uint64_t>(seed), 6000);
    CAPTURE(failure);
    REQUIRE(failure.empty());
    REQUIRE(run.sends() > 100);
}

TEST_CASE("a full ledger never evicts a request in progress")
{
    auto ledger = make_ledger({16, 1000, 10min, 30min});
    time_point const now{1h};
    std::vector<request_id> sent;
    while (sent.size() < 16)
    {
        auto const ended = ledger.issue(now);
        REQUIRE(ended);
        REQUIRE(ledger.cancel(ended.value(), now));
        sent.push_back(ledger.issue(now).value());
        REQUIRE(ledger.admit(sent.back(), now));
        REQUIRE(ledger.begin_send(sent.back(), now));
    }
    auto const refused = ledger.issue(now);
    REQUIRE_FALSE(refused);
    CHECK(refused.error().kind == error_kind::overloaded);
    CHECK(ledger.size() == 16);
    ledger.expire(now + 24h);
    for (auto const& id : sent)
    {
        CHECK(ledger.outcome(id, now + 24h).state == request_state::sent);
    }
}

TEST_CASE("a flood of unused ids evicts no outcomes and blocks no new ids")
{
    auto ledger = make_ledger({800, 8000, 10min, 30min});
    time_point const now{1h};
    auto const done = ledger.issue(now).value();
    REQUIRE(ledger.admit(done, now));
    REQUIRE(ledger.begin_send(done, now));
    ledger.finish_ran(done, "booked", now);
    for (int i = 0; i < 10'000; ++i)
    {
        REQUIRE(ledger.issue(now));
    }
    CHECK(ledger.outcome(done, now).response == "booked");
    CHECK(ledger.size() <= 800);
    auto const fresh = ledger.issue(now).value();
    REQUIRE(ledger.admit(fresh, now));
    REQUIRE(ledger.begin_send(fresh, now));
}

TEST_CASE("an evicted id that may have run is not reported as 'not run'")
{
    auto ledger = make_ledger();
    time_point const now{1h};
    auto const id = ledger.issue(now).value();
    REQUIRE(ledger.admit(id, now));
    REQUIRE(ledger.begin_send(id, now));
    ledger.finish_ran(id, "booked", now);
    ledger.expire(now + 31min);
    auto const again = ledger.admit(id, now + 31min);
    REQUIRE_FALSE(again);
    CHECK(answer_of(again.error().kind).state == run_state::unknown);
    CHECK(ledger.outcome(id, now + 31min).state == request_state::unknown);
}

TEST_CASE("the first final state is kept, but a definite one replaces unknown")
{
    auto ledger = make_ledger({100, 80, 10min, 30min});
    time_point const now{1h};
    auto const sent = [&]
    {
        auto id = ledger.issue(now).value();
        REQUIRE(ledger.admit(id, now));
        REQUIRE(ledger.begin_send(id, now));
        return id;
    };
    auto const late = sent();
    ledger.finish_unknown(late, error_kind::outcome_unknown, now);
    ledger.finish_ran(late, "late", now);
    ledger.finish_unknown(late, error_kind::target_failed, now);
    ledger.finish_ran(late, "twice", now);
    CHECK(ledger.outcome(late, now).state == request_state::ran);
    CHECK(ledger.outcome(late, now).response == "late");

    // Beyond the limit on response bytes the response is dropped; the state
    // `ran` is kept.
    auto const large = sent();
    ledger.finish_ran(large, std::string(11, 'x'), now);
    auto const outcome = ledger.outcome(large, now);
    CHECK(outcome.state == request_state::ran);
    CHECK(outcome.response_dropped);
}
