// Parses scenario files.
#include <algorithm>
#include <charconv>
#include <optional>
#include <scenarios/scenario.hpp>
#include <sstream>

namespace kumquatramp::scenarios
{

namespace
{

std::vector<std::string> split(std::string const& line)
{
    std::istringstream stream(line.substr(0, line.find('#')));
    std::vector<std::string> words;
    for (std::string word; stream >> word;)
    {
        words.push_back(word);
    }
    return words;
}

std::string join(std::vector<std::string> const& words, std::size_t first)
{
    std::string text;
    for (auto i = first; i < words.size(); ++i)
    {
        text += (text.empty() ? "" : " ") + words[i];
    }
    return text;
}

/// Adds one line to the scenario; returns false if it is malformed.
bool read_line(scenario& into, scenario_step step)
{
    auto const& words = step.words;
    if (words[0] == "at" && words.size() > 2)
    {
        auto const at = parse_duration(words[1]);
        step.at = at.value_or(duration{0});
        step.words.erase(step.words.begin(), step.words.begin() + 2);
        into.steps.push_back(std::move(step));
        return at.has_value();
    }
    if (words[0] == "expect" && words.size() > 1)
    {
        step.words.erase(step.words.begin());
        into.expectations.push_back(std::move(step));
        return true;
    }
    if (words[0] == "rule" && words.size() > 1)
    {
        into.rules.push_back(join(words, 1));
        return true;
    }
    if (words.size() != 2)
    {
        return false;
    }
    if (words[0] == "deployment")
    {
        into.deployment = words[1];
        return true;
    }
    if (words[0] == "seed")
    {
        auto const seed = parse_number(words[1], "");
        into.seed = static_cast<std::uint64_t>(seed.value_or(0));
        return seed.has_value();
    }
    auto const length = parse_duration(words[1]);
    into.length = length.value_or(duration{0});
    return words[0] == "run" && length;
}

} // namespace

result<scenario> parse_scenario(std::string name, std::string_view text)
{
    scenario read;
    read.name = std::move(name);
    std::istringstream lines{std::string(text)};
    std::uint32_t number = 0;
    for (std::string line; std::getline(lines, line);)
    {
        ++number;
        scenario_step step{number, duration{0}, split(line)};
        if (!step.words.empty() && !read_line(read, std::move(step)))
        {
            return failure(error_kind::malformed_request,
                           read.name + ":" + std::to_string(number) + ": " +
                               line);
        }
    }
    std::stable_sort(read.steps.begin(), read.steps.end(),
                     [](auto const& a, auto const& b) { return a.at < b.at; });
    return read;
}

std::optional<duration> parse_duration(std::string_view text)
{
    if (auto const time = parse_number(text, "ms"))
    {
        return duration(static_cast<duration::rep>(*time * 1e6));
    }
    if (auto const time = parse_number(text, "s"))
    {
        return duration(static_cast<duration::rep>(*time * 1e9));
    }
    if (auto const time = parse_number(text, "m"))
    {
        return duration(static_cast<duration::rep>(*time * 60e9));
    }
    return std::nullopt;
}

std::optional<double> parse_number(std::string_view text,
                                   std::string_view suffix)
{
    if (!text.ends_with(suffix))
    {
        return std::nullopt;
    }
    text.remove_suffix(suffix.size());
    double number = 0;
    auto const* const end = text.data() + text.size();
    auto const parsed = std::from_chars(text.data(), end, number);
    if (text.empty() || parsed.ec != std::errc{} || parsed.ptr != end)
    {
        return std::nullopt;
    }
    return number;
}

} // namespace kumquatramp::scenarios
