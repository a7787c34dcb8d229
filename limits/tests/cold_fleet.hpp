// Simulates many hosts, each with one gate, in front of one target that starts
// cold. Virtual time advances in steps of one millisecond; faults are derived
// from a seed.
#ifndef KUMQUATRAMP_LIMITS_TESTS_COLD_FLEET_HPP
#define KUMQUATRAMP_LIMITS_TESTS_COLD_FLEET_HPP

#include <limits/target_gate.hpp>
#include <memory>
#include <random>
#include <vector>

namespace kumquatramp
{

/// Model of the target. It is cold until it has sent enough answers since its
/// start, and until then sustains the ramp limit that matches their number: 1
/// for the first 64 answers, 2 for the next 8, then all slots.
struct ramping_target
{
    static constexpr std::uint32_t slots = 4;

    std::uint32_t incarnation = 1; // raised by each restart
    std::uint32_t answers = 0;
    std::uint32_t in_flight = 0;
    std::uint32_t max_excess = 0;        // over allowed_in_flight()
    std::uint32_t shed_threshold = 1000; // attempts in flight
    std::uint32_t refusals = 0;

    bool cold() const { return answers < 80; }
    std::uint32_t allowed_in_flight() const
    {
        return answers < 64 ? 1 : answers < 72 ? 2 : slots;
    }
    void arrive()
    {
        ++in_flight;
        if (cold() && in_flight > allowed_in_flight())
        {
            max_excess = std::max(max_excess, in_flight - allowed_in_flight());
        }
    }
    void restart()
    {
        ++incarnation;
        answers = 0;
        in_flight = 0;
    }
};

/// Assumptions about the rest of the system:
/// - no two hosts are steward at the same time, and a new steward takes over
///   only after all attempts of the previous one have ended;
/// - a paused host learns that it is no longer steward before it does anything
///   else;
/// - each host holds a connection to the target, and a restart breaks it; the
///   host opens a new one once it has detected the loss;
/// - a host that resumes skips one gossip round;
/// - a notice reaches all hosts that are not paused within
///   notice_propagation_time.
class cold_fleet
{
public:
    static constexpr std::size_t hosts = 16;

    cold_fleet(std::uint64_t seed, bool faults)
        : random_(seed)
        , faults_(faults)
    {
        for (std::size_t i = 0; i < hosts; ++i)
        {
            members_[i].gate = std::make_unique<target_gate>();
            configure(i);
        }
    }

    void run(duration length)
    {
        for (auto const end = now_ + length; now_ < end; now_ += 1ms)
        {
            if (faults_)
            {
                make_faults();
            }
            rotate_steward();
            deliver_notices();
            for (auto& m : members_)
            {
                answer_attempts(m);
            }
            for (std::size_t i = 0; i < hosts; ++i)
            {
                step_host(i);
            }
        }
    }

    void stop_faults() { faults_ = false; }

    /// Limits the attempts that the target accepts, without notice to any host.
    void reduce_target_capacity(std::uint32_t allowed_in_flight)
    {
        target_.shed_threshold = allowed_in_flight;
    }

    ramping_target const& target() const { return target_; }

    std::size_t warm_gates() const
    {
        std::size_t count = 0;
        for (auto const& m : members_)
        {
            count += m.gate->seen().warm ? 1 : 0;
        }
        return count;
    }

private:
    struct attempt
    {
        time_point sent;
        time_point ends;
        std::uint32_t target_incarnation; // that it was sent to
        bool reached; // the target, rather than a broken connection
        bool refused = false;
        bool answered = false;
    };

    struct member
    {
        std::unique_ptr<target_gate> gate;
        std::vector<time_point> queued; // due times; each holds a permit
        std::vector<attempt> attempts;
        std::uint32_t connected_to = 1; // target incarnation
        time_point detect_loss_at = never;
        time_point paused_until{};
        time_point next_gossip{};
        bool steward = false;
    };

    struct notice
    {
        std::size_t to;
        warmth seen;
        time_point arrives;
    };

    std::uint64_t random_below(std::uint64_t n) { return random_() % n; }
    bool one_in(std::uint64_t n) { return random_below(n) == 0; }

    void configure(std::size_t i)
    {
        target_bounds bounds;
        bounds.slots = ramping_target::slots;
        bounds.connections = 80;
        bounds.hosts = hosts;
        bounds.steward = members_[i].steward;
        members_[i].gate->configure(bounds, now_);
    }

    void make_faults()
    {
        if (one_in(4000))
        {
            target_.restart();
        }
        if (one_in(1500))
        {
            members_[random_below(hosts)].paused_until =
                now_ + std::chrono::milliseconds(random_below(8000));
        }
        if (one_in(5000))
        {
            steward_until_ = now_;
        }
    }

    /// No host is steward during the hold-off between two stewards.
    void rotate_steward()
    {
        if (now_ == steward_until_)
        {
            auto& old = members_[steward_];
            old.steward = false;
            if (old.paused_until <= now_)
            {
                configure(steward_);
            }
            steward_from_ = now_ + 3s;
            steward_until_ = never;
        }
        if (now_ == steward_from_)
        {
            steward_ = random_below(hosts);
            members_[steward_].steward = true;
            if (members_[steward_].paused_until <= now_)
            {
                configure(steward_);
            }
            steward_from_ = never;
        }
    }

    void deliver_notices()
    {
        std::erase_if(notices_,
                      [this](notice const& n)
                      {
                          auto& to = members_[n.to];
                          if (n.arrives > now_ || to.paused_until > now_)
                          {
                              return false;
                          }
                          to.gate->observe(n.seen, now_);
                          return true;
                      });
    }

    void step_host(std::size_t i)
    {
        auto& m = members_[i];
        if (m.paused_until > now_)
        {
            return;
        }
        if (m.paused_until == now_)
        {
            configure(i);
            m.next_gossip = now_ + 500ms;
        }
        finish_attempts(m);
        detect_connection_loss(m);
        gossip(m);
        if (random_below(1000) < 60 && m.gate->try_acquire(now_))
        {
            m.queued.push_back(now_ +
                               std::chrono::milliseconds(random_below(20)));
        }
        send_queued(m);
    }

    void send_queued(member& m)
    {
        std::erase_if(m.queued,
                      [this, &m](time_point due)
                      {
                          if (due > now_)
                          {
                              return false;
                          }
                          send(m);
                          return true;
                      });
    }

    void send(member& m)
    {
        if (!m.gate->may_send(now_))
        {
            m.gate->release(attempt_outcome::not_sent, {}, {}, now_);
            return;
        }
        attempt f{now_, now_ + 1ms, m.connected_to, false};
        bool const reaches = m.connected_to == target_.incarnation;
        if (reaches && target_.in_flight >= target_.shed_threshold)
        {
            ++target_.refusals;
            f.refused = true;
        }
        else if (reaches)
        {
            target_.arrive();
            f.ends = now_ + std::chrono::milliseconds(2 + random_below(20));
            f.reached = true;
        }
        m.attempts.push_back(f);
    }

    void finish_attempts(member& m)
    {
        std::erase_if(m.attempts,
                      [this, &m](attempt const& f) { return finish(m, f); });
    }

    bool finish(member& m, attempt const& f)
    {
        bool const target_restarted =
            f.target_incarnation != target_.incarnation;
        if (f.ends > now_ && !target_restarted)
        {
            return false;
        }
        auto const outcome = f.answered  ? attempt_outcome::answered
                             : f.refused ? attempt_outcome::refused
                                         : attempt_outcome::broken;
        m.gate->release(outcome, now_ - f.sent, {}, now_);
        return true;
    }

    /// The target also answers hosts that are paused.
    void answer_attempts(member& m)
    {
        for (auto& f : m.attempts)
        {
            bool const runs =
                f.reached && f.target_incarnation == target_.incarnation;
            if (runs && !f.answered && f.ends <= now_)
            {
                f.answered = true;
                --target_.in_flight;
                ++target_.answers;
            }
        }
    }

    void detect_connection_loss(member& m)
    {
        if (m.connected_to != target_.incarnation && m.detect_loss_at == never)
        {
            m.detect_loss_at =
                now_ + std::chrono::milliseconds(random_below(20));
        }
        if (m.detect_loss_at <= now_)
        {
            m.detect_loss_at = never;
            m.connected_to = target_.incarnation;
            m.gate->on_connection_lost(now_);
        }
    }

    void gossip(member& m)
    {
        if (now_ < m.next_gossip)
        {
            return;
        }
        m.next_gossip = now_ + 500ms;
        for (int i = 0; i < 4; ++i)
        {
            auto const late = std::chrono::milliseconds(random_below(300));
            notices_.push_back(
                {random_below(hosts), m.gate->seen(), now_ + late});
        }
    }

    std::mt19937_64 random_;
    bool faults_;
    time_point now_{1h};
    ramping_target target_;
    member members_[hosts];
    std::vector<notice> notices_;
    std::size_t steward_ = 0;
    time_point steward_from_{1h + 1s};
    time_point steward_until_ = never;
};

} // namespace kumquatramp

#endif
