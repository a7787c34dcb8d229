// Implementations of the load-balancing policies.
#include <algorithm>
#include <array>
#include <atomic>
#include <routing/replica_chooser.hpp>

namespace kumquatramp
{

namespace
{

using candidates_view = std::span<replica_ptr const>;

replica_ptr pick_random(candidates_view candidates, random_source& random)
{
    return candidates[random.below(candidates.size())];
}

template <class Score>
replica_ptr min_by_score(candidates_view candidates, Score score)
{
    auto best = candidates.front();
    auto best_score = score(*best);
    for (auto const& candidate : candidates.subspan(1))
    {
        auto const candidate_score = score(*candidate);
        if (candidate_score < best_score)
        {
            best = candidate;
            best_score = candidate_score;
        }
    }
    return best;
}

class random_chooser final : public replica_chooser
{
public:
    replica_ptr choose(candidates_view candidates, time_point,
                       random_source& random) override
    {
        return candidates.empty() ? nullptr : pick_random(candidates, random);
    }
};

class round_robin_chooser final : public replica_chooser
{
public:
    replica_ptr choose(candidates_view candidates, time_point,
                       random_source&) override
    {
        if (candidates.empty())
        {
            return nullptr;
        }
        auto const turn = turn_.fetch_add(1, std::memory_order_relaxed);
        return candidates[turn % candidates.size()];
    }

private:
    std::atomic<std::uint64_t> turn_{0};
};

class least_in_flight_chooser final : public replica_chooser
{
public:
    replica_ptr choose(candidates_view candidates, time_point now,
                       random_source&) override
    {
        if (candidates.empty())
        {
            return nullptr;
        }
        return min_by_score(candidates, [&](replica const& r)
                            { return r.gate->load(now); });
    }
};

class two_choices_chooser final : public replica_chooser
{
public:
    replica_ptr choose(candidates_view candidates, time_point now,
                       random_source& random) override
    {
        if (candidates.empty())
        {
            return nullptr;
        }
        std::array<replica_ptr, 2> const pair{pick_random(candidates, random),
                                              pick_random(candidates, random)};
        return min_by_score(candidates_view(pair), [&](replica const& r)
                            { return r.gate->load(now); });
    }
};

class expected_latency_chooser final : public replica_chooser
{
public:
    replica_ptr choose(candidates_view candidates, time_point now,
                       random_source& random) override
    {
        if (candidates.empty())
        {
            return nullptr;
        }
        // The random factor keeps hosts that observe the same targets from
        // switching between them in lockstep.
        return min_by_score(candidates,
                            [&](replica const& r)
                            {
                                auto const latency = static_cast<double>(
                                    r.gate->latency().count());
                                auto const load = r.gate->load(now);
                                auto const failure_rate =
                                    r.gate->failure_rate(now);
                                return latency * (1.0 + load) *
                                       (1.0 + failure_penalty * failure_rate) *
                                       (1.0 + jitter * random.unit());
                            });
    }

private:
    static constexpr double jitter = 0.2;

    // Cost of an attempt that is certain to fail, as a multiple of its latency.
    static constexpr double failure_penalty = 50;
};

} // namespace

std::string_view to_string(choice_policy policy) noexcept
{
    switch (policy)
    {
    case choice_policy::random:
        return "random";
    case choice_policy::round_robin:
        return "round_robin";
    case choice_policy::least_in_flight:
        return "least_in_flight";
    case choice_policy::two_choices:
        return "two_choices";
    case choice_policy::expected_latency:
        return "expected_latency";
    }
    return "";
}

std::unique_ptr<replica_chooser> make_replica_chooser(choice_policy policy)
{
    switch (policy)
    {
    case choice_policy::random:
        return std::make_unique<random_chooser>();
    case choice_policy::round_robin:
        return std::make_unique<round_robin_chooser>();
    case choice_policy::least_in_flight:
        return std::make_unique<least_in_flight_chooser>();
    case choice_policy::two_choices:
        return std::make_unique<two_choices_chooser>();
    case choice_policy::expected_latency:
        break;
    }
    return std::make_unique<expected_latency_chooser>();
}

} // namespace kumquatramp
