// Validates the value of each key with its parser.
#include <config/catalogue.hpp>
#include <config/member_entry.hpp>
#include <config/platform_validator.hpp>
#include <rules/details/word_values.hpp>
#include <rules/parse_rules.hpp>
#include <rules/ruleset.hpp>

namespace kumquatramp
{

namespace
{

static_assert(max_value_bytes == details::max_text_bytes);

std::vector<rule_fault> check_rules(std::string_view text)
{
    auto const parsed = parse_rules(text);
    return parsed ? std::vector<rule_fault>{} : parsed.error();
}

// An empty list would take the whole system out of service, so it is refused
// as a mistake.
std::vector<rule_fault> check_catalogue(std::string_view text)
{
    auto const parsed = parse_catalogue(text);
    if (!parsed)
    {
        return parsed.error();
    }
    if (parsed.value().services.empty())
    {
        return {{1, "the catalogue names no service"}};
    }
    return {};
}

std::vector<rule_fault> check_members(std::string_view text)
{
    auto const parsed = parse_members(text);
    if (!parsed)
    {
        return parsed.error();
    }
    if (parsed.value().empty())
    {
        return {{1, "the list names no host"}};
    }
    return {};
}

} // namespace

std::vector<rule_fault>
platform_validator::validate(config_key key, std::string_view text) const
{
    switch (key)
    {
    case config_key::rules:
        return check_rules(text);
    case config_key::catalogue:
        return check_catalogue(text);
    case config_key::members:
        return check_members(text);
    }
    return {rule_fault{1, "unknown key"}};
}

} // namespace kumquatramp
