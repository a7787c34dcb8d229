// Checks of the expectations in scenario files.
#include <algorithm>
#include <base/error_answer.hpp>
#include <scenarios/scenario_run.hpp>
#include <scenarios/world.hpp>
#include <stdexcept>

namespace kumquatramp::scenarios
{

namespace
{

using word_list = std::vector<std::string>;
using check_result = std::optional<std::string>;

struct time_window
{
    time_point first{};
    time_point last = never;

    bool contains(time_point at) const { return first <= at && at <= last; }
};

/// Parses and removes trailing "after T" and "until T" words; nullopt if a time
/// is malformed.
std::optional<time_window> parse_window(word_list& words)
{
    time_window window;
    while (words.size() > 2)
    {
        auto const& word = words[words.size() - 2];
        if (word != "after" && word != "until")
        {
            break;
        }
        auto const time = parse_duration(words.back());
        if (!time)
        {
            return std::nullopt;
        }
        (word == "after" ? window.first : window.last) = time_point{} + *time;
        words.resize(words.size() - 2);
    }
    return window;
}

std::vector<caller_record const*> requests(world const& simulation,
                                           std::string const& service,
                                           time_window const& window)
{
    std::vector<caller_record const*> found;
    for (auto const& each : simulation.log().callers)
    {
        if (each.service.value() == service && window.contains(each.asked))
        {
            found.push_back(&each);
        }
    }
    return found;
}

std::string percent(double share)
{
    return std::to_string(share * 100.0) + "%";
}

check_result at_least(double seen, std::string const& wanted, std::size_t count)
{
    auto const bound = parse_number(wanted, "%");
    if (!bound)
    {
        return std::nullopt;
    }
    if (count == 0)
    {
        return "there were no requests";
    }
    return seen * 100.0 >= *bound ? std::string{}
                                  : "observed " + percent(seen) + " over " +
                                        std::to_string(count) + " requests";
}

// coverage of S at-least P%
check_result coverage(world const& simulation, word_list const& words,
                      time_window const& window)
{
    auto const asked = requests(simulation, words[2], window);
    double sum = 0;
    for (auto const* const each : asked)
    {
        sum += each->failed || each->lost ? 0.0 : each->coverage;
    }
    auto const count = std::max<std::size_t>(asked.size(), 1);
    return at_least(sum / static_cast<double>(count), words[4], asked.size());
}

// on-time of S within T at-least P%
check_result on_time(world const& simulation, word_list const& words,
                     time_window const& window)
{
    auto const within = parse_duration(words[4]);
    if (!within)
    {
        return std::nullopt;
    }
    auto const asked = requests(simulation, words[2], window);
    std::size_t good = 0;
    for (auto const* const each : asked)
    {
        bool const whole = !each->failed && !each->lost &&
                           each->coverage >= 1.0 &&
                           each->ended - each->asked <= *within;
        good += whole ? 1 : 0;
    }
    auto const count = std::max<std::size_t>(asked.size(), 1);
    return at_least(static_cast<double>(good) / static_cast<double>(count),
                    words[6], asked.size());
}

// p99 of S at-most T
check_result p99_latency(world const& simulation, word_list const& words,
                         time_window const& window)
{
    auto const bound = parse_duration(words[4]);
    if (!bound)
    {
        return std::nullopt;
    }
    std::vector<duration> times;
    for (auto const* const each : requests(simulation, words[2], window))
    {
        times.push_back(each->ended - each->asked);
    }
    if (times.empty())
    {
        return "there were no requests";
    }
    std::sort(times.begin(), times.end());
    auto const seen = times[times.size() * 99 / 100];
    return seen <= *bound ? std::string{}
                          : "observed " + std::to_string(seen / 1us) + " us";
}

// Lists the first failures with their time and kind, for the report.
std::string describe_failures(std::vector<caller_record const*> const& asked)
{
    constexpr int max_listed = 3;
    std::string why;
    int listed = 0;
    for (auto const* const each : asked)
    {
        if ((each->failed || each->lost) && listed++ < max_listed)
        {
            why += ", at " +
                   std::to_string(each->asked.time_since_epoch() / 1ms) +
                   " ms: " +
                   (each->failed ? std::string(answer_of(*each->failed).code)
                                 : "lost") +
                   " after " +
                   std::to_string((each->ended - each->asked) / 1ms) + " ms";
        }
    }
    return why;
}

// no request of S lost | no request of S failed
check_result no_failed_requests(world const& simulation, word_list const& words,
                                time_window const& window)
{
    bool const lost_only = words[4] == "lost";
    auto const asked = requests(simulation, words[3], window);
    auto const bad =
        std::count_if(asked.begin(), asked.end(),
                      [&](caller_record const* each)
                      { return each->lost || (!lost_only && each->failed); });
    if (asked.empty())
    {
        return "there were no requests";
    }
    return bad == 0
               ? std::string{}
               : std::to_string(bad) + " of " + std::to_string(asked.size()) +
                     " requests affected" + describe_failures(asked);
}

/// Counts the sends to a target, or to all targets of an availability zone.
std::size_t count_sends(world& simulation, std::string const& kind,
                        std::string const& name, time_window const& window)
{
    auto const targets = kind == "target"
                             ? std::vector{&simulation.target(name)}
                             : simulation.targets_in_zone(name);
    auto const& sends = simulation.log().sends;
    return static_cast<std::size_t>(std::count_if(
        sends.begin(), sends.end(),
        [&](send_record const& send)
        {
            return window.contains(send.at) &&
                   std::any_of(targets.begin(), targets.end(),
                               [&](fake_target const* target)
                               { return target->name() == send.target; });
        }));
}

check_result no_sends(world& simulation, word_list const& words,
                      time_window const& window)
{
    auto const count = count_sends(simulation, words[3], words[4], window);
    return count == 0 ? std::string{}
                      : "observed " + std::to_string(count) + " sends";
}

check_result some_sends(world& simulation, word_list const& words,
                        time_window const& window)
{
    auto const count = count_sends(simulation, words[2], words[3], window);
    return count > 0 ? std::string{} : "there were no sends";
}

// refused rules everywhere
check_result refused_everywhere(world& simulation)
{
    for (auto const& size : hosts_of(simulation.sizes()))
    {
        auto& host = simulation.host(size.name.value());
        if (host.alive() && host.node()->status(host.now()).refused.empty())
        {
            return size.name.value() + " reports no refused value";
        }
    }
    return std::string{};
}

// host H ready | host H not-ready | host H ended
check_result check_host_state(world& simulation, word_list const& words)
{
    auto& host = simulation.host(words[1]);
    bool const good = words[2] == "ended"
                          ? !host.alive()
                          : simulation.ready(host) == (words[2] == "ready");
    return good ? std::string{} : "the host is not in this state";
}

bool starts_with(word_list const& words,
                 std::initializer_list<char const*> pattern)
{
    return words.size() >= pattern.size() &&
           std::equal(pattern.begin(), pattern.end(), words.begin(),
                      [](std::string_view wanted, std::string const& word)
                      { return wanted == "*" || word == wanted; });
}

check_result check_words(world& simulation, word_list const& words,
                         time_window const& window)
{
    auto const size = words.size();
    if (size == 5 && starts_with(words, {"coverage", "of", "*", "at-least"}))
    {
        return coverage(simulation, words, window);
    }
    if (size == 7 &&
        starts_with(words, {"on-time", "of", "*", "within", "*", "at-least"}))
    {
        return on_time(simulation, words, window);
    }
    if (size == 5 && starts_with(words, {"p99", "of", "*", "at-most"}))
    {
        return p99_latency(simulation, words, window);
    }
    if (size == 5 &&
        (starts_with(words, {"no", "request", "of", "*", "lost"}) ||
         starts_with(words, {"no", "request", "of", "*", "failed"})))
    {
        return no_failed_requests(simulation, words, window);
    }
    if (size == 5 && starts_with(words, {"no", "work", "to"}))
    {
        return no_sends(simulation, words, window);
    }
    if (size == 4 && starts_with(words, {"work", "to"}))
    {
        return some_sends(simulation, words, window);
    }
    if (size == 3 && starts_with(words, {"refused", "rules", "everywhere"}))
    {
        return refused_everywhere(simulation);
    }
    if (size == 3 && starts_with(words, {"host"}))
    {
        return check_host_state(simulation, words);
    }
    return std::nullopt;
}

} // namespace

std::optional<std::string> check_expectation(world& simulation,
                                             scenario_step const& expectation)
{
    auto words = expectation.words;
    auto const window = parse_window(words);
    if (!window)
    {
        return std::nullopt;
    }
    try
    {
        return check_words(simulation, words, *window);
    }
    catch (std::out_of_range const&)
    {
        return std::nullopt; // unknown name
    }
}

} // namespace kumquatramp::scenarios
