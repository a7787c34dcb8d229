// The queue loses no request, keeps FIFO order within a caller and serves
// callers in round-robin order.
#include <base/seeded_random.hpp>
#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <requests/request_queue.hpp>

using namespace kumquatramp;

namespace
{

// Compares the queue with a simple reference model under random operations.
class queue_model_check
{
public:
    explicit queue_model_check(std::uint64_t seed)
        : random_(seed)
    {
    }

    void step()
    {
        now_ += std::chrono::milliseconds(random_.below(10));
        switch (random_.below(8))
        {
        case 0:
        case 1:
        case 2:
        case 3:
            push();
            break;
        case 4:
        case 5:
            pop();
            break;
        case 6:
            remove();
            break;
        default:
            expire();
        }
        REQUIRE(queue_.size() == waiting_.size());
        REQUIRE(queue_.next_deadline() == earliest());
    }

    void drain()
    {
        while (auto const number = queue_.pop())
        {
            REQUIRE(waiting_.erase(number->value()) == 1);
        }
        REQUIRE(waiting_.empty());
    }

private:
    struct request
    {
        std::uint64_t caller = 0;
        time_point deadline;
    };

    static caller_name name(std::uint64_t caller)
    {
        return caller_name{"caller-" + std::to_string(caller)};
    }

    void push()
    {
        auto const number = ++last_;
        request const added{random_.below(3), now_ + std::chrono::milliseconds(
                                                         random_.below(400))};
        bool const accepted = queue_.push(query_number{number},
                                          name(added.caller), added.deadline);
        REQUIRE(accepted == has_room_for(added.caller));
        if (accepted)
        {
            waiting_[number] = added;
        }
    }

    bool has_room_for(std::uint64_t caller) const
    {
        std::size_t held = 0;
        for (auto const& entry : waiting_)
        {
            held += entry.second.caller == caller ? 1 : 0;
        }
        return held < 4 * (capacity - waiting_.size());
    }

    // The popped request must be the oldest of its caller. Half of the popped
    // requests are put back.
    void pop()
    {
        auto const number = queue_.pop();
        REQUIRE(number.has_value() == !waiting_.empty());
        if (!number)
        {
            return;
        }
        auto const found = waiting_.find(number->value());
        REQUIRE(found != waiting_.end());
        for (auto const& [other, added] : waiting_)
        {
            bool const earlier = other < number->value();
            REQUIRE_FALSE((earlier && added.caller == found->second.caller));
        }
        if (random_.below(2) == 0)
        {
            queue_.put_back(*number, name(found->second.caller),
                            found->second.deadline);
            return;
        }
        waiting_.erase(found);
    }

    void remove()
    {
        auto const number = random_.below(last_ + 1);
        bool const present = waiting_.erase(number) == 1;
        REQUIRE(queue_.remove(query_number{number}) == present);
    }

    void expire()
    {
        for (auto const number : queue_.expire(now_))
        {
            auto const found = waiting_.find(number.value());
            REQUIRE(found != waiting_.end());
            REQUIRE(found->second.deadline <= now_);
            waiting_.erase(found);
        }
        REQUIRE(earliest() > now_);
    }

    time_point earliest() const
    {
        auto first = never;
        for (auto const& entry : waiting_)
        {
            first = std::min(first, entry.second.deadline);
        }
        return first;
    }

    static constexpr std::size_t capacity = 30;
    seeded_random random_;
    request_queue queue_{capacity};
    std::map<std::uint64_t, request> waiting_; // by number
    std::uint64_t last_ = 0;
    time_point now_{1h};
};

} // namespace

TEST_CASE("each request leaves the queue once, in the order of its caller")
{
    auto const seed = GENERATE(range(1, 9));
    CAPTURE(seed);
    queue_model_check run(static_cast<std::uint64_t>(seed));
    for (int i = 0; i < 2000; ++i)
    {
        run.step();
    }
    run.drain();
}

TEST_CASE("a caller with a long backlog does not starve the others")
{
    request_queue queue(100);
    caller_name const busy{"busy"};
    std::uint64_t backlog = 0;
    while (queue.push(query_number{backlog}, busy, never))
    {
        ++backlog;
    }
    REQUIRE(backlog == 80);
    REQUIRE(queue.push(query_number{90}, caller_name{"quiet"}, never));
    REQUIRE(queue.pop() == query_number{0});
    REQUIRE(queue.pop() == query_number{90});
    // A request that is put back keeps its place in its caller's queue, but
    // the next caller is served first.
    REQUIRE(queue.push(query_number{91}, caller_name{"quiet"}, never));
    REQUIRE(queue.pop() == query_number{1});
    queue.put_back(query_number{1}, busy, never);
    REQUIRE(queue.pop() == query_number{91});
    REQUIRE(queue.pop() == query_number{1});
}
