// Admission control: rate limits per caller, load shedding by priority, and
// fair sharing between callers of one priority when capacity is scarce.
#include <algorithm>
#include <array>
#include <details/caller_table.hpp>
#include <limits/admission.hpp>
#include <rules/service_policy.hpp>
#include <unordered_map>

namespace kumquatramp
{
namespace
{

/// Fraction of max_in_flight available to the lowest priority.
constexpr double lowest_priority_share = 0.5;

/// Load, as a fraction of a priority's limit, from which on its callers are
/// held to a fair share.
constexpr double fairness_share = 0.75;

/// In-flight requests of one priority.
struct priority_usage
{
    std::uint32_t in_flight = 0;
    std::uint32_t callers = 0; // with at least one request in flight
};

double priority_limit_of(std::uint8_t priority, std::uint32_t max_in_flight)
{
    double const rank = double(priority) / lowest_priority;
    return max_in_flight * (1 - (1 - lowest_priority_share) * rank);
}

} // namespace

struct admission_controller::state
{
    std::uint32_t in_flight = 0;
    std::unordered_map<service_name, std::uint32_t> in_flight_by_service;
    std::array<priority_usage, lowest_priority + 1> usage_by_priority;
    caller_table callers;

    bool exceeds_fair_share(caller_entry const& caller, std::uint8_t priority,
                            double priority_limit) const
    {
        if (in_flight < priority_limit * fairness_share)
        {
            return false;
        }
        auto const& usage = usage_by_priority[priority];
        auto const active = usage.callers + (caller.in_flight == 0 ? 1 : 0);
        double const available = usage.in_flight + (priority_limit - in_flight);
        return caller.in_flight + 1 > std::max(available / active, 1.0);
    }

    void admit(caller_entry& caller, std::uint8_t priority,
               std::uint32_t& running)
    {
        if (caller.in_flight == 0)
        {
            caller.priority = priority;
            ++usage_by_priority[priority].callers;
        }
        ++caller.in_flight;
        ++usage_by_priority[caller.priority].in_flight;
        ++running;
        ++in_flight;
    }

    void release(caller_entry& caller, std::uint32_t& running)
    {
        auto& usage = usage_by_priority[caller.priority];
        --caller.in_flight;
        --usage.in_flight;
        usage.callers -= caller.in_flight == 0 ? 1 : 0;
        --running;
        --in_flight;
    }
};

admission_controller::admission_controller(std::uint32_t max_in_flight)
    : max_in_flight_(max_in_flight)
    , state_(std::make_unique<state>())
{
}

admission_controller::~admission_controller() = default;

std::optional<error_kind>
admission_controller::enter(service_name const& service,
                            caller_name const& caller, std::uint8_t priority,
                            std::uint32_t service_limit,
                            std::optional<double> rate, time_point now)
{
    std::lock_guard const guard(mutex_);
    auto const rank = std::min(priority, lowest_priority);
    double const priority_limit = priority_limit_of(rank, max_in_flight_);
    auto& running = state_->in_flight_by_service[service];
    if (state_->in_flight + 1 > priority_limit || running >= service_limit)
    {
        return error_kind::overloaded;
    }
    auto& entry = state_->callers.entry(service, caller, now);
    if (state_->exceeds_fair_share(entry, rank, priority_limit))
    {
        return error_kind::overloaded;
    }
    if (rate && !entry.tokens.take(*rate, now))
    {
        return error_kind::rate_limited;
    }
    state_->admit(entry, rank, running);
    return std::nullopt;
}

void admission_controller::leave(service_name const& service,
                                 caller_name const& caller)
{
    std::lock_guard const guard(mutex_);
    auto* const entry = state_->callers.find_in_use(service, caller);
    auto const running = state_->in_flight_by_service.find(service);
    bool const known =
        running != state_->in_flight_by_service.end() && running->second > 0;
    if (entry != nullptr && known)
    {
        state_->release(*entry, running->second);
    }
}

std::uint32_t admission_controller::in_flight() const
{
    std::lock_guard const guard(mutex_);
    return state_->in_flight;
}

} // namespace kumquatramp
