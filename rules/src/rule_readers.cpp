// The grammar of the rules file, one function a rule.
#include <array>
#include <rule_line.hpp>
#include <rule_readers.hpp>
#include <ruleset_builder.hpp>
#include <string>

namespace kumquatramp
{

namespace
{

constexpr duration shortest_time = 1ms;
constexpr duration longest_time = 60s;
constexpr duration longest_ramp = 1h;
constexpr std::uint64_t most_requests = 1'000'000;
constexpr std::uint64_t least_percentile = 50;
constexpr std::uint64_t most_percentile = 99;

std::string text_of(duration time)
{
    return std::to_string(time.count());
}

service_name read_service(rule_line& line)
{
    return service_name{line.name("a service")};
}

// drain availability_zone Z | drain target T
void read_drain(rule_line& line, ruleset_builder& rules)
{
    if (line.accept("availability_zone"))
    {
        zone_name const zone{line.name("an availability zone")};
        line.end();
        if (line.good())
        {
            rules.drain(zone);
        }
        return;
    }
    if (line.accept("target"))
    {
        target_name const target{line.name("a target")};
        line.end();
        if (line.good())
        {
            rules.drain(target);
        }
        return;
    }
    line.wrong("'availability_zone' or 'target'");
}

// deadline S 150ms
void read_deadline(rule_line& line, ruleset_builder& rules)
{
    auto const service = read_service(line);
    auto const time = line.time(shortest_time, longest_time);
    line.end();
    if (line.good() && rules.claim(line.number(), "deadline " + service.value(),
                                   text_of(time)))
    {
        rules.policy(service).deadline = time;
    }
}

// hedge S off
void read_hedge_off(rule_line& line, service_name const& service,
                    ruleset_builder& rules)
{
    line.end();
    if (line.good() &&
        rules.claim(line.number(), "hedge " + service.value(), "off"))
    {
        rules.policy(service).hedge = false;
    }
}

// hedge S off | hedge S percentile 95 budget 5%
void read_hedge(rule_line& line, ruleset_builder& rules)
{
    auto const service = read_service(line);
    if (line.accept("off"))
    {
        read_hedge_off(line, service, rules);
        return;
    }
    if (!line.accept("percentile"))
    {
        line.wrong("'off' or 'percentile'");
        return;
    }
    auto const percentile = line.count(least_percentile, most_percentile);
    line.expect("budget");
    auto const budget = line.percentage();
    line.end();
    auto const value =
        std::to_string(percentile) + " " + std::to_string(budget);
    if (line.good() &&
        rules.claim(line.number(), "hedge " + service.value(), value))
    {
        auto& policy = rules.policy(service);
        policy.hedge = true;
        policy.hedge_percentile = static_cast<double>(percentile) / 100.0;
        policy.hedge_budget = budget;
    }
}

// coverage S at-least 80%
void read_least_coverage(rule_line& line, service_name const& service,
                         ruleset_builder& rules)
{
    auto const share = line.percentage();
    line.end();
    if (line.good() &&
        rules.claim(line.number(), "coverage " + service.value() + " at-least",
                    std::to_string(share)))
    {
        rules.policy(service).min_coverage = share;
    }
}

// coverage S enough 90% after 120ms
void read_enough_coverage(rule_line& line, service_name const& service,
                          ruleset_builder& rules)
{
    auto const share = line.percentage();
    line.expect("after");
    auto const wait = line.time(duration::zero(), longest_time);
    line.end();
    if (line.good() &&
        rules.claim(line.number(), "coverage " + service.value() + " enough",
                    std::to_string(share) + " " + text_of(wait)))
    {
        auto& policy = rules.policy(service);
        policy.enough_coverage = share;
        policy.straggler_wait = wait;
    }
}

void read_coverage(rule_line& line, ruleset_builder& rules)
{
    auto const service = read_service(line);
    if (line.accept("at-least"))
    {
        read_least_coverage(line, service, rules);
    }
    else if (line.accept("enough"))
    {
        read_enough_coverage(line, service, rules);
    }
    else
    {
        line.wrong("'at-least' or 'enough'");
    }
}

// priority S 0
void read_priority(rule_line& line, ruleset_builder& rules)
{
    auto const service = read_service(line);
    auto const priority = line.count(0, lowest_priority);
    line.end();
    if (line.good() && rules.claim(line.number(), "priority " + service.value(),
                                   std::to_string(priority)))
    {
        rules.policy(service).priority = static_cast<std::uint8_t>(priority);
    }
}

// limit service S in-flight 200 | limit service S queue 500
void read_service_limit(rule_line& line, ruleset_builder& rules)
{
    auto const service = read_service(line);
    bool const queue = line.accept("queue");
    if (!queue && !line.accept("in-flight"))
    {
        line.wrong("'in-flight' or 'queue'");
        return;
    }
    auto const least = queue ? 0U : 1U;
    auto const limit = line.count(least, most_requests);
    line.end();
    auto const subject =
        "limit service " + service.value() + (queue ? " queue" : " in-flight");
    if (line.good() &&
        rules.claim(line.number(), subject, std::to_string(limit)))
    {
        auto& policy = rules.policy(service);
        auto& field = queue ? policy.max_queued : policy.max_in_flight;
        field = static_cast<std::uint32_t>(limit);
    }
}

// limit caller C 50/s | limit caller C service S 20/s
void read_caller_limit(rule_line& line, ruleset_builder& rules)
{
    caller_name const caller{line.name("a caller")};
    bool const one_service = line.accept("service");
    auto const service = one_service ? read_service(line) : service_name{};
    auto const rate = line.rate();
    line.end();
    auto const subject = "limit caller " + caller.value() +
                         (one_service ? " service " + service.value() : "");
    if (!line.good() ||
        !rules.claim(line.number(), subject, std::to_string(rate)))
    {
        return;
    }
    if (one_service)
    {
        rules.limit(caller, service, rate);
    }
    else
    {
        rules.limit(caller, rate);
    }
}

void read_limit(rule_line& line, ruleset_builder& rules)
{
    if (line.accept("service"))
    {
        read_service_limit(line, rules);
    }
    else if (line.accept("caller"))
    {
        read_caller_limit(line, rules);
    }
    else
    {
        line.wrong("'service' or 'caller'");
    }
}

// objective S 99.9% within 150ms
void read_objective(rule_line& line, ruleset_builder& rules)
{
    auto const service = read_service(line);
    auto const share = line.percentage();
    line.expect("within");
    auto const time = line.time(shortest_time, longest_time);
    line.end();
    if (line.good() &&
        rules.claim(line.number(), "objective " + service.value(),
                    std::to_string(share) + " " + text_of(time)))
    {
        auto& policy = rules.policy(service);
        policy.objective = share;
        policy.objective_latency = time;
    }
}

// ramp availability_zones 30s
void read_ramp(rule_line& line, ruleset_builder& rules)
{
    line.expect("availability_zones");
    auto const ramp = line.time(duration::zero(), longest_ramp);
    line.end();
    if (line.good() &&
        rules.claim(line.number(), "ramp availability_zones", text_of(ramp)))
    {
        rules.zone_ramp(ramp);
    }
}

struct rule_kind
{
    std::string_view word;
    void (*read)(rule_line&, ruleset_builder&);
};

constexpr std::array<rule_kind, 8> kinds{{
    {"drain", read_drain},
    {"deadline", read_deadline},
    {"hedge", read_hedge},
    {"coverage", read_coverage},
    {"priority", read_priority},
    {"limit", read_limit},
    {"objective", read_objective},
    {"ramp", read_ramp},
}};

} // namespace

void read_rule(rule_line& line, ruleset_builder& rules)
{
    for (auto const& kind : kinds)
    {
        if (line.accept(kind.word))
        {
            kind.read(line, rules);
            return;
        }
    }
    line.wrong("drain, deadline, hedge, coverage, priority, limit, objective "
               "or ramp");
}

} // namespace kumquatramp
