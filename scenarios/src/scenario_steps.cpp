// Executes the steps of scenario files.
#include <algorithm>
#include <map>
#include <scenarios/scenario_run.hpp>
#include <scenarios/world.hpp>
#include <stdexcept>

namespace kumquatramp::scenarios
{

namespace
{

using word_list = std::vector<std::string>;

/// Whether the words match the pattern; "*" matches any single word.
bool matches(word_list const& words, std::initializer_list<char const*> pattern)
{
    return words.size() == pattern.size() &&
           std::equal(words.begin(), words.end(), pattern.begin(),
                      [](std::string const& word, std::string_view wanted)
                      { return wanted == "*" || word == wanted; });
}

std::string join(word_list const& words, std::size_t first)
{
    std::string text;
    for (auto i = first; i < words.size(); ++i)
    {
        text += (text.empty() ? "" : " ") + words[i];
    }
    return text;
}

bool execute_publish_step(world& simulation, word_list const& words)
{
    if (matches(words, {"publish", "rules", "bad"}))
    {
        simulation.platform().put(config_key::rules,
                                  simulation.editor().rules() +
                                      "drain everything # Nobody\n");
        return true;
    }
    if (words[0] == "rule" && words.size() > 1)
    {
        simulation.editor().add_rule(join(words, 1));
        simulation.publish_rules();
        return true;
    }
    if (words[0] == "drain")
    {
        simulation.editor().add_rule(join(words, 0));
        simulation.publish_rules();
        return true;
    }
    if (words[0] == "return")
    {
        simulation.editor().remove_rule("drain " + join(words, 1));
        simulation.publish_rules();
        return true;
    }
    if (matches(words, {"leaving", "target", "*"}))
    {
        simulation.target(words[2]);
        simulation.editor().set_leaving(target_name{words[2]}, true);
        simulation.publish_catalogue();
        return true;
    }
    if (matches(words, {"leaving", "host", "*"}))
    {
        simulation.host(words[2]);
        simulation.editor().set_leaving(host_name{words[2]}, true);
        simulation.publish_members();
        return true;
    }
    return false;
}

bool execute_platform_step(world& simulation, word_list const& words)
{
    if (matches(words, {"platform", "absent"}) ||
        matches(words, {"platform", "back"}))
    {
        simulation.platform().set_absent(words[1] == "absent");
        if (words[1] == "back")
        {
            simulation.platform().set_stale(0);
        }
        return true;
    }
    if (matches(words, {"platform", "stale", "*"}))
    {
        auto const versions = parse_number(words[2], "");
        simulation.platform().set_stale(
            static_cast<std::uint64_t>(versions.value_or(0)));
        return versions.has_value();
    }
    return false;
}

bool execute_cut_step(world& simulation, word_list const& words)
{
    bool const cutting = words[0] == "cut";
    if (!matches(words, {words[0].c_str(), "host", "*", "from", "*"}))
    {
        return false;
    }
    auto const& host = simulation.host(words[2]).name().value();
    auto const& other = words[4];
    if (other == "hosts")
    {
        simulation.cut_from_hosts(host, cutting);
    }
    else if (other == "targets")
    {
        simulation.cut_from_targets(host, cutting);
    }
    else if (other == platform_endpoint || other == callers_endpoint)
    {
        cutting ? simulation.network().cut(host, other)
                : simulation.network().heal(host, other);
    }
    else
    {
        simulation.host(other);
        cutting ? simulation.network().cut(host, other)
                : simulation.network().heal(host, other);
    }
    return true;
}

bool execute_host_step(world& simulation, word_list const& words)
{
    if (matches(words, {"freeze", "host", "*", "for", "*"}))
    {
        auto const time = parse_duration(words[4]);
        simulation.host(words[2]).freeze(time.value_or(duration{0}));
        return time.has_value();
    }
    if (!matches(words, {"*", "host", "*"}))
    {
        return false;
    }
    auto& host = simulation.host(words[2]);
    if (words[0] == "kill")
    {
        host.kill();
        return true;
    }
    if (words[0] == "restart")
    {
        host.kill();
        host.start();
        return true;
    }
    if (words[0] == "stop")
    {
        host.shut_down();
        return true;
    }
    return false;
}

bool set_fault(fake_target& target, word_list const& words)
{
    static std::map<std::string, answer_fault> const faults{
        {"nothing", answer_fault::none},
        {"malformed", answer_fault::malformed},
        {"crossed", answer_fault::crossed},
        {"late", answer_fault::late},
        {"failed", answer_fault::failed}};
    auto const fault = faults.find(words[3]);
    auto const share =
        words.size() == 5 ? parse_number(words[4], "%") : std::optional(100.0);
    if (fault == faults.end() || !share)
    {
        return false;
    }
    target.behaviour().fault = fault->second;
    target.behaviour().fault_share = *share / 100.0;
    return true;
}

bool execute_target_step(world& simulation, word_list const& words)
{
    if (matches(words, {"restart", "target", "*"}))
    {
        simulation.restart_target(words[2]);
        return true;
    }
    if (matches(words, {"draining", "target", "*"}))
    {
        simulation.target(words[2]).behaviour().draining = true;
        return true;
    }
    if (matches(words, {"spoil", "target", "*", "*", "*"}) ||
        matches(words, {"spoil", "target", "*", "*"}))
    {
        return set_fault(simulation.target(words[2]), words);
    }
    if (matches(words, {"target", "*", "reports", "*"}))
    {
        auto& load = simulation.target(words[1]).behaviour().load;
        load = words[3] == "idle"   ? load_reporting::idle
               : words[3] == "busy" ? load_reporting::busy
                                    : load_reporting::honest;
        return true;
    }
    return false;
}

bool execute_service_step(world& simulation, word_list const& words)
{
    if (matches(words, {"load", "*", "*"}))
    {
        auto const rate = parse_number(words[2], "/s");
        simulation.load(words[1], rate.value_or(0));
        return rate.has_value();
    }
    if (matches(words, {"stragglers", "of", "*", "*"}))
    {
        auto const share = parse_number(words[3], "%");
        for (auto* const target : simulation.targets_of_service(words[2]))
        {
            target->behaviour().straggle_share = share.value_or(0) / 100.0;
        }
        return share.has_value();
    }
    if (matches(words, {"repartition", "*", "to", "*", "within", "*"}))
    {
        auto const shards = parse_number(words[3], "");
        auto const time = parse_duration(words[5]);
        if (!shards || !time)
        {
            return false;
        }
        simulation.repartition(words[1], static_cast<std::uint32_t>(*shards),
                               *time);
        return true;
    }
    if (matches(words, {"index", "of", "*", "advances", "within", "*"}))
    {
        auto const time = parse_duration(words[5]);
        simulation.advance_index(words[2], time.value_or(1s));
        return time.has_value();
    }
    if (matches(words, {"spoil", "service", "*", "*", "*"}))
    {
        bool good = true;
        for (auto* const target : simulation.targets_of_service(words[2]))
        {
            good = set_fault(*target, words) && good;
        }
        return good;
    }
    return false;
}

} // namespace

bool execute_step(world& simulation, scenario_step const& step)
{
    try
    {
        for (auto* const kind :
             {execute_publish_step, execute_platform_step, execute_cut_step,
              execute_host_step, execute_target_step, execute_service_step})
        {
            if (kind(simulation, step.words))
            {
                return true;
            }
        }
    }
    catch (std::out_of_range const&)
    {
        // Unknown name; the step is invalid.
    }
    return false;
}

} // namespace kumquatramp::scenarios
