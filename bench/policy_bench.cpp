// policy_bench: measures tail latency, coverage and extra load of the policies
// in virtual time, with the production decision code.
//
//   policy_bench table accra|cymru-west   every policy and disturbance
//   policy_bench hedging DEPLOYMENT       hedging by percentile and budget
//   policy_bench bound NAME DEPLOYMENT    one bound; exit code 1 if missed
#include "bench_run.hpp"
#include <cstdio>
#include <cstring>

namespace
{

using namespace kumquatramp;
using namespace kumquatramp::bench;

std::string high_priority_service(std::string const& deployment)
{
    return measured_services(deployment).front();
}

std::string low_priority_service(std::string const& deployment)
{
    return measured_services(deployment).back();
}

std::string no_hedge(std::string const& deployment)
{
    return "hedge " + high_priority_service(deployment) + " off";
}

bench_setup setup_for(std::string const& deployment, double load = 1.0)
{
    bench_setup setup;
    setup.deployment = deployment;
    setup.load = load;
    return setup;
}

bool report_bound(char const* what, double measured, double bound, bool held)
{
    std::printf("%s: %.4f, bound %.4f: %s\n", what, measured, bound,
                held ? "held" : "MISSED");
    return held;
}

bool at_most(char const* what, double measured, double bound)
{
    return report_bound(what, measured, bound, measured <= bound);
}

bool at_least(char const* what, double measured, double bound)
{
    return report_bound(what, measured, bound, measured >= bound);
}

double ratio(duration a, duration b)
{
    return static_cast<double>(a.count()) / static_cast<double>(b.count());
}

void print(std::string const& name, std::string const& service,
           measurement const& measured)
{
    std::printf("%-26s %-16s %s\n", name.c_str(), service.c_str(),
                to_row(measured).c_str());
    std::fflush(stdout);
}

void print_table_header()
{
    std::printf("%-26s %-16s %s\n", "run", "service", table_header().c_str());
}

std::map<std::string, std::vector<measurement>>
run_and_print(std::string const& name, bench_setup const& setup)
{
    auto measured = run_bench(setup);
    for (auto const& [service, spans] : measured)
    {
        for (auto const& each : spans)
        {
            print(name, service, each);
        }
    }
    return measured;
}

/// With 1% stragglers and 10 groups, hedging reduces p99 to at most a fifth, at
/// no more than 5% extra load.
bool bound_hedging(std::string const& deployment)
{
    print_table_header();
    auto setup = setup_for(deployment);
    setup.straggle_share = 0.01;
    auto const with = run_and_print("hedging", setup);
    setup.rules = {no_hedge(deployment)};
    auto const without = run_and_print("no hedging", setup);
    auto const& service = high_priority_service(deployment);
    auto const& hedged = with.at(service).front();
    auto const& plain = without.at(service).front();
    bool const tail = at_most("p99 with over p99 without hedging",
                              ratio(hedged.p99, plain.p99), 0.2);
    bool const load = at_most("extra load", hedged.extra_load, 0.05);
    return tail && load;
}

/// At twice the normal load, hedging does not reduce coverage.
bool bound_double_load(std::string const& deployment)
{
    print_table_header();
    auto setup = setup_for(deployment, 2.0);
    setup.straggle_share = 0.01;
    auto const with = run_and_print("2x load, hedging", setup);
    setup.rules = {no_hedge(deployment)};
    auto const without = run_and_print("2x load, no hedging", setup);
    auto const& service = high_priority_service(deployment);
    return at_least("coverage with hedging", with.at(service).front().coverage,
                    without.at(service).front().coverage);
}

/// An availability zone is drained and restored: no request is lost or fails,
/// and except in the first 5 s after each change, 99% of the answers are
/// complete and on time.
bool bound_zone(std::string const& deployment)
{
    auto const zone = scenarios::find_deployment(deployment)->zones[1];
    auto const out = warm_up + 5s;
    auto const back = out + 20s;
    auto const from = [](duration a, duration b) {
        return measured_span{time_point{} + a, time_point{} + b};
    };
    auto setup = setup_for(deployment);
    setup.disturbances = {
        {out,
         [zone](scenarios::world& in)
         {
             in.editor().add_rule("drain availability_zone " + zone);
             in.publish_rules();
         }},
        {back, [zone](scenarios::world& in)
         {
             in.editor().remove_rule("drain availability_zone " + zone);
             in.publish_rules();
         }}};
    setup.spans = {from(out, out + 5s), from(out + 5s, back),
                   from(back, back + 5s), from(back + 5s, back + 25s)};
    print_table_header();
    auto const measured = run_and_print("zone out 5 s, 15 s; back", setup);
    bool held = true;
    for (auto const& [service, spans] : measured)
    {
        std::size_t lost = 0;
        for (auto const& each : spans)
        {
            lost += each.lost + each.failed;
        }
        std::printf("%s:\n", service.c_str());
        held =
            at_most("  lost or failed", static_cast<double>(lost), 0) && held;
        held = at_least("  on time, zone out", spans[1].on_time, 0.99) && held;
        held = at_least("  on time, zone back", spans[3].on_time, 0.99) && held;
    }
    return held;
}

/// At twice the normal load, p99 of the high-priority service is at most 1.5
/// times its unloaded value, and the low-priority service, whose requests may
/// wait, loses none.
bool bound_priority(std::string const& deployment)
{
    print_table_header();
    auto const unloaded = run_and_print("unloaded", setup_for(deployment, 0.1));
    auto const loaded = run_and_print("2x load", setup_for(deployment, 2.0));
    auto const& high_priority = high_priority_service(deployment);
    auto const& low_priority =
        loaded.at(low_priority_service(deployment)).front();
    bool const tail = at_most("p99 of the high-priority service, over unloaded",
                              ratio(loaded.at(high_priority).front().p99,
                                    unloaded.at(high_priority).front().p99),
                              1.5);
    bool const kept = at_most(
        "low-priority requests lost or failed",
        static_cast<double>(low_priority.lost + low_priority.failed), 0);
    return tail && kept;
}

void restart_group(scenarios::world& in, std::string const& service)
{
    for (auto const* copy : {"0", "1", "2"})
    {
        in.restart_target(service + "-0-" + copy);
    }
}

void disconnect_replica(scenarios::world& in, std::string const& service)
{
    auto const target = service + "-0-0";
    for (auto const& host : scenarios::hosts_of(in.sizes()))
    {
        in.network().cut(host.name.value(), target);
    }
}

void report_false_loads(scenarios::world& in, std::string const& service)
{
    auto turn = 0;
    for (auto* const target : in.targets_of_service(service))
    {
        target->behaviour().load = ++turn % 2 == 0
                                       ? scenarios::load_reporting::idle
                                       : scenarios::load_reporting::busy;
    }
}

void table(std::string const& deployment)
{
    auto const service = high_priority_service(deployment);
    auto const plain = setup_for(deployment);
    auto const with = [&](auto change)
    {
        auto setup = plain;
        change(setup);
        return setup;
    };
    auto const disturbed = [&](auto apply)
    {
        return with(
            [&](bench_setup& setup) {
                setup.disturbances = {{warm_up + 1s, apply}};
            });
    };
    print_table_header();
    run_and_print("normal", plain);
    for (auto const policy :
         {choice_policy::random, choice_policy::round_robin,
          choice_policy::least_in_flight, choice_policy::two_choices,
          choice_policy::expected_latency})
    {
        run_and_print("1% stragglers, " + std::string(to_string(policy)),
                      with(
                          [&](bench_setup& setup)
                          {
                              setup.choice = policy;
                              setup.straggle_share = 0.01;
                          }));
    }
    run_and_print("5% stragglers", with([](bench_setup& setup)
                                        { setup.straggle_share = 0.05; }));
    run_and_print("5% stragglers, no hedging",
                  with(
                      [&](bench_setup& setup)
                      {
                          setup.straggle_share = 0.05;
                          setup.rules = {no_hedge(deployment)};
                      }));
    run_and_print("2x load",
                  with([](bench_setup& setup) { setup.load = 2.0; }));
    run_and_print("replica lost",
                  disturbed([&](scenarios::world& in)
                            { disconnect_replica(in, service); }));
    run_and_print("group cold", disturbed([&](scenarios::world& in)
                                          { restart_group(in, service); }));
    run_and_print("false load reports",
                  disturbed([&](scenarios::world& in)
                            { report_false_loads(in, service); }));
    run_and_print("platform absent",
                  disturbed([](scenarios::world& in)
                            { in.platform().set_absent(true); }));
}

/// Compares hedging percentiles and budgets by the tail latency of the
/// high-priority service and by their extra load.
void hedging_table(std::string const& deployment)
{
    auto const& service = high_priority_service(deployment);
    print_table_header();
    for (auto const share : {0.01, 0.05})
    {
        for (auto const* const policy :
             {"off", "percentile 90 budget 10%", "percentile 95 budget 5%",
              "percentile 97 budget 5%", "percentile 98 budget 5%",
              "percentile 99 budget 5%"})
        {
            auto setup = setup_for(deployment);
            setup.straggle_share = share;
            setup.rules = {"hedge " + service + " " + policy};
            auto const name =
                std::to_string(static_cast<int>(share * 100)) + "%, " + policy;
            print(name, service, run_bench(setup).at(service).front());
        }
    }
}

struct named_bound
{
    char const* name;
    bool (*check)(std::string const& deployment);
};

constexpr named_bound bounds[]{
    {"hedging", bound_hedging},
    {"double_load", bound_double_load},
    {"zone", bound_zone},
    {"counter_first", bound_priority},
};

} // namespace

int main(int argc, char** argv)
{
    if (argc == 3 && std::strcmp(argv[1], "table") == 0)
    {
        table(argv[2]);
        return 0;
    }
    if (argc == 3 && std::strcmp(argv[1], "hedging") == 0)
    {
        hedging_table(argv[2]);
        return 0;
    }
    for (auto const& bound : bounds)
    {
        if (argc == 4 && std::strcmp(argv[1], "bound") == 0 &&
            std::strcmp(argv[2], bound.name) == 0)
        {
            return bound.check(argv[3]) ? 0 : 1;
        }
    }
    std::printf("policy_bench table DEPLOYMENT | hedging DEPLOYMENT | "
                "bound NAME DEPLOYMENT\n");
    return 2;
}
