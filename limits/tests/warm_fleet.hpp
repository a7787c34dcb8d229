// Simulates many hosts in front of one group of warm targets with slots, a
// queue and load shedding, in virtual time.
#ifndef KUMQUATRAMP_LIMITS_TESTS_WARM_FLEET_HPP
#define KUMQUATRAMP_LIMITS_TESTS_WARM_FLEET_HPP

#include "send_limiter.hpp"
#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <vector>

namespace kumquatramp
{

struct fleet_results
{
    double offered = 0;
    double on_time = 0;  // answers within the deadline
    double refusals = 0; // attempts shed by a target
    double max_at_target = 0;
    std::vector<duration> latencies; // of on-time answers, sorted by run()

    duration quantile(double p) const
    {
        auto const last = double(latencies.size()) - 1;
        return latencies.empty()
                   ? duration{0}
                   : latencies[static_cast<std::size_t>(p * last)];
    }
};

/// Maps the true load of a target to the load it reports.
using report_filter = std::function<load_report(load_report)>;

class warm_fleet
{
public:
    static constexpr std::size_t hosts = 16;
    static constexpr std::size_t targets = 3;
    static constexpr std::uint32_t slots = 4;
    static constexpr std::size_t queue_length = 8;
    static constexpr double service_ms = 10;
    static constexpr duration one_way = 500us;
    static constexpr duration deadline = 150ms;
    static constexpr duration max_queue_wait = 50ms; // for a permit
    static constexpr duration shed_cost = 300us;     // in slot time
    static constexpr int max_sends = 3;              // per request

    using factory = std::function<std::unique_ptr<send_limiter>()>;

    warm_fleet(std::uint64_t seed, double load, factory const& make,
               report_filter report)
        : random_(seed)
        , rate_per_ms_(load * targets * slots / service_ms)
        , report_(std::move(report))
    {
        for (auto& h : hosts_)
        {
            std::generate(h.limiters.begin(), h.limiters.end(), make);
        }
    }

    /// Counts only requests that arrive after `warm_up`.
    fleet_results run(duration warm_up, duration length)
    {
        count_from_ = now_ + warm_up;
        end_ = now_ + warm_up + length;
        arrive();
        while (!events_.empty() && now_ < end_)
        {
            auto const next = events_.top();
            events_.pop();
            now_ = next.at;
            next.action();
        }
        std::sort(results_.latencies.begin(), results_.latencies.end());
        return results_;
    }

private:
    struct request
    {
        time_point arrived;
        std::size_t host;
        int sends = 0;
    };
    using request_ptr = std::shared_ptr<request>;

    struct sent
    {
        request_ptr req;
        std::size_t target;
        time_point at;
    };

    struct target_state
    {
        std::uint32_t busy = 0;
        // Cost of shedding, added to the next execution.
        duration pending_shed_time{0};
        std::deque<sent> queue;
    };

    struct host_state
    {
        std::array<std::unique_ptr<send_limiter>, targets> limiters;
        std::deque<request_ptr> waiting;
        bool polling = false;
    };

    struct event
    {
        time_point at;
        std::uint64_t order;
        std::function<void()> action;
        bool operator<(event const& other) const
        {
            return std::tie(at, order) > std::tie(other.at, other.order);
        }
    };

    void schedule(duration wait, std::function<void()> action)
    {
        events_.push({now_ + wait, ++order_, std::move(action)});
    }

    static duration milliseconds(double count)
    {
        return std::chrono::duration_cast<duration>(
            std::chrono::duration<double, std::milli>(count));
    }

    bool counted(request const& r) const { return r.arrived >= count_from_; }

    void arrive()
    {
        std::exponential_distribution<double> gap(rate_per_ms_);
        schedule(milliseconds(gap(random_)), [this] { arrive(); });
        auto const host = random_() % hosts;
        auto const r = std::make_shared<request>(request{now_, host});
        results_.offered += counted(*r) ? 1 : 0;
        hosts_[host].waiting.push_back(r);
        dispatch(host);
    }

    /// Sends waiting requests while permits are available, drops those that
    /// waited too long and polls for the rest.
    void dispatch(std::size_t host)
    {
        auto& h = hosts_[host];
        while (!h.waiting.empty())
        {
            auto const r = h.waiting.front();
            bool const late = now_ - r->arrived >= max_queue_wait;
            if (!late && !send(r))
            {
                break;
            }
            h.waiting.pop_front();
        }
        if (!h.waiting.empty() && !h.polling)
        {
            h.polling = true;
            schedule(1ms,
                     [this, host]
                     {
                         hosts_[host].polling = false;
                         dispatch(host);
                     });
        }
    }

    bool send(request_ptr const& r)
    {
        auto& limiters = hosts_[r->host].limiters;
        std::size_t best = 0;
        double least = 1e9;
        auto const first = random_() % targets;
        for (std::size_t i = 0; i < targets; ++i)
        {
            auto const candidate = (first + i) % targets;
            double const load = limiters[candidate]->load(now_);
            if (load < least)
            {
                least = load;
                best = candidate;
            }
        }
        if (!limiters[best]->try_acquire(now_))
        {
            return false;
        }
        ++r->sends;
        schedule(one_way, [this, s = sent{r, best, now_}] { receive(s); });
        return true;
    }

    void receive(sent const& s)
    {
        auto& t = targets_[s.target];
        auto const occupancy = double(t.busy) + double(t.queue.size()) + 1;
        results_.max_at_target = std::max(results_.max_at_target, occupancy);
        if (t.busy < slots)
        {
            execute(s);
        }
        else if (t.queue.size() < queue_length)
        {
            t.queue.push_back(s);
        }
        else
        {
            t.pending_shed_time += shed_cost;
            results_.refusals += counted(*s.req) ? 1 : 0;
            reply(s, attempt_outcome::refused);
        }
    }

    void execute(sent const& s)
    {
        auto& t = targets_[s.target];
        constexpr double sigma = 0.5;
        std::lognormal_distribution<double> service(
            std::log(service_ms) - sigma * sigma / 2, sigma);
        ++t.busy;
        auto const length =
            milliseconds(service(random_)) + t.pending_shed_time;
        t.pending_shed_time = duration{0};
        schedule(length,
                 [this, s]
                 {
                     reply(s, attempt_outcome::answered);
                     finish(targets_[s.target]);
                 });
    }

    /// Frees a slot and starts queued requests; those past their deadline are
    /// not executed.
    void finish(target_state& t)
    {
        --t.busy;
        while (!t.queue.empty() && t.busy < slots)
        {
            auto const next = t.queue.front();
            t.queue.pop_front();
            if (now_ - next.req->arrived < deadline)
            {
                execute(next);
            }
            else
            {
                reply(next, attempt_outcome::timed_out);
            }
        }
    }

    void reply(sent const& s, attempt_outcome outcome)
    {
        auto const& t = targets_[s.target];
        load_report const truth{t.busy,
                                static_cast<std::uint32_t>(t.queue.size())};
        schedule(one_way, [this, s, outcome, report = report_(truth)]
                 { take_reply(s, outcome, report); });
    }

    void take_reply(sent const& s, attempt_outcome outcome, load_report report)
    {
        auto& h = hosts_[s.req->host];
        h.limiters[s.target]->release(outcome, now_ - s.at, report, now_);
        auto const elapsed = now_ - s.req->arrived;
        bool const on_time = elapsed < deadline;
        if (outcome == attempt_outcome::answered && on_time && counted(*s.req))
        {
            ++results_.on_time;
            results_.latencies.push_back(elapsed);
        }
        if (outcome == attempt_outcome::refused && s.req->sends < max_sends)
        {
            h.waiting.push_front(s.req);
        }
        dispatch(s.req->host);
    }

    std::mt19937_64 random_;
    double rate_per_ms_;
    report_filter report_;
    time_point now_{1h};
    time_point count_from_{};
    time_point end_{};
    std::uint64_t order_ = 0;
    std::priority_queue<event> events_;
    std::array<host_state, hosts> hosts_;
    std::array<target_state, targets> targets_;
    fleet_results results_;
};

} // namespace kumquatramp

#endif
