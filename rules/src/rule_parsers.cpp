// The grammar of the rules file, with one function per kind of rule. The
// comment of each function shows the syntax that it accepts.
#include <array>
#include <rule_parsers.hpp>
#include <rule_scanner.hpp>
#include <ruleset_builder.hpp>
#include <string>

namespace kumquatramp
{

namespace
{

constexpr duration min_time = 1ms;
constexpr duration max_time = 60s;
constexpr duration max_ramp = 1h;
constexpr std::uint64_t max_requests = 1'000'000;
constexpr std::uint64_t min_percentile = 50;
constexpr std::uint64_t max_percentile = 99;

// Exact text of a time, so that equal times of two rules compare equal.
std::string nanoseconds_text(duration time)
{
    return std::to_string(time.count());
}

service_name parse_service(rule_scanner& scanner)
{
    return service_name{scanner.take_name("a service")};
}

// drain availability_zone Z | drain target T
void parse_drain(rule_scanner& scanner, ruleset_builder& rules)
{
    if (scanner.accept("availability_zone"))
    {
        zone_name const zone{scanner.take_name("an availability zone")};
        scanner.expect_end();
        if (scanner.ok())
        {
            rules.drain(zone);
        }
        return;
    }
    if (scanner.accept("target"))
    {
        target_name const target{scanner.take_name("a target")};
        scanner.expect_end();
        if (scanner.ok())
        {
            rules.drain(target);
        }
        return;
    }
    scanner.reject("'availability_zone' or 'target'");
}

// deadline S 150ms
void parse_deadline(rule_scanner& scanner, ruleset_builder& rules)
{
    auto const service = parse_service(scanner);
    auto const time = scanner.take_duration(min_time, max_time);
    scanner.expect_end();
    if (scanner.ok() &&
        rules.declare(scanner.line_number(), "deadline " + service.value(),
                      nanoseconds_text(time)))
    {
        rules.policy(service).deadline = time;
    }
}

// hedge S off
void parse_hedge_off(rule_scanner& scanner, service_name const& service,
                     ruleset_builder& rules)
{
    scanner.expect_end();
    if (scanner.ok() &&
        rules.declare(scanner.line_number(), "hedge " + service.value(), "off"))
    {
        rules.policy(service).hedge = false;
    }
}

// hedge S off | hedge S percentile 95 budget 5%
void parse_hedge(rule_scanner& scanner, ruleset_builder& rules)
{
    auto const service = parse_service(scanner);
    if (scanner.accept("off"))
    {
        parse_hedge_off(scanner, service, rules);
        return;
    }
    if (!scanner.accept("percentile"))
    {
        scanner.reject("'off' or 'percentile'");
        return;
    }
    auto const percentile = scanner.take_count(min_percentile, max_percentile);
    scanner.expect("budget");
    auto const budget = scanner.take_percentage();
    scanner.expect_end();
    auto const value =
        std::to_string(percentile) + " " + std::to_string(budget);
    if (scanner.ok() &&
        rules.declare(scanner.line_number(), "hedge " + service.value(), value))
    {
        auto& policy = rules.policy(service);
        policy.hedge = true;
        policy.hedge_percentile = static_cast<double>(percentile) / 100.0;
        policy.hedge_budget = budget;
    }
}

// coverage S at-least 80%
void parse_min_coverage(rule_scanner& scanner, service_name const& service,
                        ruleset_builder& rules)
{
    auto const share = scanner.take_percentage();
    scanner.expect_end();
    if (scanner.ok() &&
        rules.declare(scanner.line_number(),
                      "coverage " + service.value() + " at-least",
                      std::to_string(share)))
    {
        rules.policy(service).min_coverage = share;
    }
}

// coverage S enough 90% after 120ms
void parse_enough_coverage(rule_scanner& scanner, service_name const& service,
                           ruleset_builder& rules)
{
    auto const share = scanner.take_percentage();
    scanner.expect("after");
    auto const wait = scanner.take_duration(duration::zero(), max_time);
    scanner.expect_end();
    if (scanner.ok() &&
        rules.declare(scanner.line_number(),
                      "coverage " + service.value() + " enough",
                      std::to_string(share) + " " + nanoseconds_text(wait)))
    {
        auto& policy = rules.policy(service);
        policy.enough_coverage = share;
        policy.straggler_wait = wait;
    }
}

void parse_coverage(rule_scanner& scanner, ruleset_builder& rules)
{
    auto const service = parse_service(scanner);
    if (scanner.accept("at-least"))
    {
        parse_min_coverage(scanner, service, rules);
    }
    else if (scanner.accept("enough"))
    {
        parse_enough_coverage(scanner, service, rules);
    }
    else
    {
        scanner.reject("'at-least' or 'enough'");
    }
}

// priority S 0
void parse_priority(rule_scanner& scanner, ruleset_builder& rules)
{
    auto const service = parse_service(scanner);
    auto const priority = scanner.take_count(0, lowest_priority);
    scanner.expect_end();
    if (scanner.ok() &&
        rules.declare(scanner.line_number(), "priority " + service.value(),
                      std::to_string(priority)))
    {
        rules.policy(service).priority = static_cast<std::uint8_t>(priority);
    }
}

// limit service S in-flight 200 | limit service S queue 500
void parse_service_limit(rule_scanner& scanner, ruleset_builder& rules)
{
    auto const service = parse_service(scanner);
    bool const queue = scanner.accept("queue");
    if (!queue && !scanner.accept("in-flight"))
    {
        scanner.reject("'in-flight' or 'queue'");
        return;
    }
    auto const min_limit = queue ? 0U : 1U;
    auto const limit = scanner.take_count(min_limit, max_requests);
    scanner.expect_end();
    auto const subject =
        "limit service " + service.value() + (queue ? " queue" : " in-flight");
    if (scanner.ok() &&
        rules.declare(scanner.line_number(), subject, std::to_string(limit)))
    {
        auto& policy = rules.policy(service);
        auto& field = queue ? policy.max_queued : policy.max_in_flight;
        field = static_cast<std::uint32_t>(limit);
    }
}

// limit caller C 50/s | limit caller C service S 20/s
void parse_caller_limit(rule_scanner& scanner, ruleset_builder& rules)
{
    caller_name const caller{scanner.take_name("a caller")};
    bool const one_service = scanner.accept("service");
    auto const service = one_service ? parse_service(scanner) : service_name{};
    auto const rate = scanner.take_rate();
    scanner.expect_end();
    auto const subject = "limit caller " + caller.value() +
                         (one_service ? " service " + service.value() : "");
    if (!scanner.ok() ||
        !rules.declare(scanner.line_number(), subject, std::to_string(rate)))
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

void parse_limit(rule_scanner& scanner, ruleset_builder& rules)
{
    if (scanner.accept("service"))
    {
        parse_service_limit(scanner, rules);
    }
    else if (scanner.accept("caller"))
    {
        parse_caller_limit(scanner, rules);
    }
    else
    {
        scanner.reject("'service' or 'caller'");
    }
}

// objective S 99.9% within 150ms
void parse_objective(rule_scanner& scanner, ruleset_builder& rules)
{
    auto const service = parse_service(scanner);
    auto const share = scanner.take_percentage();
    scanner.expect("within");
    auto const time = scanner.take_duration(min_time, max_time);
    scanner.expect_end();
    if (scanner.ok() &&
        rules.declare(scanner.line_number(), "objective " + service.value(),
                      std::to_string(share) + " " + nanoseconds_text(time)))
    {
        auto& policy = rules.policy(service);
        policy.objective = share;
        policy.objective_latency = time;
    }
}

// ramp availability_zones 30s
void parse_ramp(rule_scanner& scanner, ruleset_builder& rules)
{
    scanner.expect("availability_zones");
    auto const ramp = scanner.take_duration(duration::zero(), max_ramp);
    scanner.expect_end();
    if (scanner.ok() &&
        rules.declare(scanner.line_number(), "ramp availability_zones",
                      nanoseconds_text(ramp)))
    {
        rules.zone_ramp(ramp);
    }
}

struct rule_kind
{
    std::string_view keyword;
    void (*parser)(rule_scanner&, ruleset_builder&);
};

constexpr std::array<rule_kind, 8> rule_kinds{{
    {"drain", parse_drain},
    {"deadline", parse_deadline},
    {"hedge", parse_hedge},
    {"coverage", parse_coverage},
    {"priority", parse_priority},
    {"limit", parse_limit},
    {"objective", parse_objective},
    {"ramp", parse_ramp},
}};

} // namespace

void parse_rule(rule_scanner& scanner, ruleset_builder& rules)
{
    for (auto const& kind : rule_kinds)
    {
        if (scanner.accept(kind.keyword))
        {
            kind.parser(scanner, rules);
            return;
        }
    }
    scanner.reject(
        "drain, deadline, hedge, coverage, priority, limit, objective "
        "or ramp");
}

} // namespace kumquatramp
