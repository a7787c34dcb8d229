// Checks and converts the words of a rule.
#include <rule_scanner.hpp>
#include <rules/details/word_values.hpp>

namespace kumquatramp
{

namespace
{

constexpr double min_rate_per_s = 0.001;
constexpr double max_rate_per_s = 1e6;

std::string format_time(duration time)
{
    constexpr duration whole_second = 1s;
    return time % whole_second == duration::zero()
               ? std::to_string(time / 1s) + "s"
               : std::to_string(time / 1ms) + "ms";
}

} // namespace

rule_scanner::rule_scanner(details::config_line const& line,
                           details::fault_list& faults)
    : line_(line)
    , faults_(faults)
{
}

std::string_view rule_scanner::peek() const
{
    return ok_ && next_ < line_.words.size() ? line_.words[next_]
                                             : std::string_view{};
}

void rule_scanner::reject(std::string_view expected)
{
    if (!ok_)
    {
        return;
    }
    auto const word = peek();
    auto const what = word.empty() ? std::string("the rule ends too early")
                                   : details::quote_word(word) + " is wrong";
    faults_.add(line_.number, what + "; expected " + std::string(expected));
    ok_ = false;
}

void rule_scanner::expect(std::string_view word)
{
    if (!accept(word))
    {
        reject("'" + std::string(word) + "'");
    }
}

bool rule_scanner::accept(std::string_view word)
{
    bool const same = peek() == word;
    next_ += same ? 1 : 0;
    return same;
}

std::string rule_scanner::take_name(std::string_view what)
{
    auto const word = peek();
    if (!details::is_name(word))
    {
        reject("the name of " + std::string(what) +
               " (1 to 64 of a-z, 0-9 and '-')");
        return {};
    }
    ++next_;
    return std::string(word);
}

template <class Value>
Value rule_scanner::take_bounded(std::optional<Value> value, Value min_value,
                                 Value max_value, std::string const& expected)
{
    if (!value || *value < min_value || *value > max_value)
    {
        reject(expected);
        return min_value;
    }
    ++next_;
    return *value;
}

std::uint64_t rule_scanner::take_count(std::uint64_t min_value,
                                       std::uint64_t max_value)
{
    return take_bounded(details::parse_count(peek()), min_value, max_value,
                        "a whole number from " + std::to_string(min_value) +
                            " to " + std::to_string(max_value));
}

duration rule_scanner::take_duration(duration min_value, duration max_value)
{
    return take_bounded(details::parse_duration(peek()), min_value, max_value,
                        "a time from " + format_time(min_value) + " to " +
                            format_time(max_value) + ", such as 150ms or 2s");
}

double rule_scanner::take_percentage()
{
    return take_bounded(details::parse_percentage(peek()), 0.0, 1.0,
                        "a percentage from 0% to 100%, such as 95%");
}

double rule_scanner::take_rate()
{
    return take_bounded(details::parse_rate(peek()), min_rate_per_s,
                        max_rate_per_s,
                        "a rate from 0.001/s to 1000000/s, such as 50/s");
}

void rule_scanner::expect_end()
{
    if (!peek().empty())
    {
        reject("the end of the rule or '#'");
    }
}

} // namespace kumquatramp
