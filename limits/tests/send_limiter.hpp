// Strategies by which a simulated host limits its attempts to a target.
#ifndef KUMQUATRAMP_LIMITS_TESTS_SEND_LIMITER_HPP
#define KUMQUATRAMP_LIMITS_TESTS_SEND_LIMITER_HPP

#include <limits/target_gate.hpp>

namespace kumquatramp
{

class send_limiter
{
public:
    send_limiter() = default;
    send_limiter(send_limiter const&) = delete;
    send_limiter& operator=(send_limiter const&) = delete;
    virtual ~send_limiter() = default;

    virtual bool try_acquire(time_point now) = 0;
    virtual double load(time_point now) = 0;
    virtual void release(attempt_outcome outcome, duration latency,
                         load_report report, time_point now) = 0;
};

/// Fixed concurrency limit.
class fixed_limiter final : public send_limiter
{
public:
    explicit fixed_limiter(std::uint32_t limit)
        : limit_(limit)
    {
    }

    bool try_acquire(time_point) override
    {
        if (in_flight_ == limit_)
        {
            return false;
        }
        ++in_flight_;
        return true;
    }

    double load(time_point) override { return double(in_flight_) / limit_; }

    void release(attempt_outcome, duration, load_report, time_point) override
    {
        --in_flight_;
    }

private:
    std::uint32_t limit_;
    std::uint32_t in_flight_ = 0;
};

/// Uses the target_gate under test, with a target that starts warm.
class gate_limiter final : public send_limiter
{
public:
    gate_limiter(std::uint32_t slots, std::uint32_t hosts, time_point now)
    {
        target_bounds bounds;
        bounds.slots = slots;
        bounds.connections = 20 * slots;
        bounds.hosts = hosts;
        gate_.configure(bounds, now);
        gate_.observe({1, true}, now);
    }

    bool try_acquire(time_point now) override { return gate_.try_acquire(now); }
    double load(time_point now) override { return gate_.load(now); }

    void release(attempt_outcome outcome, duration latency, load_report report,
                 time_point now) override
    {
        gate_.release(outcome, latency, report, now);
    }

    target_gate const& gate() const { return gate_; }

private:
    target_gate gate_;
};

} // namespace kumquatramp

#endif
