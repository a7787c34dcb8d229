// Table of the keys of the settings file, with their validation.
#include <algorithm>
#include <cctype>
#include <charconv>
#include <details/settings_table.hpp>
#include <optional>
#include <transport/daemon_settings.hpp>
#include <vector>

namespace kumquatramp
{

namespace
{

using settings = daemon_settings;
using store = std::function<std::string(settings&, std::string const&)>;

constexpr std::size_t max_name_bytes = 64;

bool is_name(std::string_view text)
{
    auto const plain = [](unsigned char c)
    { return std::isalnum(c) != 0 || c == '-' || c == '_'; };
    return !text.empty() && text.size() <= max_name_bytes &&
           std::all_of(text.begin(), text.end(), plain);
}

std::optional<std::uint64_t> read_number(std::string const& text)
{
    std::uint64_t number = 0;
    auto const* const end = text.data() + text.size();
    auto const parsed = std::from_chars(text.data(), end, number);
    bool const valid = parsed.ec == std::errc{} && parsed.ptr == end;
    return valid ? std::optional(number) : std::nullopt;
}

/// Parses an integer within [min_value, max_value] into the field that `field`
/// selects.
template <class Field>
store number(Field field, std::uint64_t min_value, std::uint64_t max_value)
{
    return [=](settings& target, std::string const& text) -> std::string
    {
        auto const read = read_number(text);
        if (!read || *read < min_value || *read > max_value)
        {
            return "must be a whole number from " + std::to_string(min_value) +
                   " to " + std::to_string(max_value);
        }
        auto& destination = field(target);
        destination =
            static_cast<std::remove_reference_t<decltype(destination)>>(*read);
        return {};
    };
}

/// Parses a duration in units of `Unit`, within [min_value, max_value].
template <class Unit, class Field>
store time(Field field, std::uint64_t min_value, std::uint64_t max_value)
{
    return [=](settings& target, std::string const& text) -> std::string
    {
        auto const read = read_number(text);
        if (!read || *read < min_value || *read > max_value)
        {
            return "must be a whole number from " + std::to_string(min_value) +
                   " to " + std::to_string(max_value);
        }
        field(target) = Unit(static_cast<std::int64_t>(*read));
        return {};
    };
}

template <class Field>
store address(Field field)
{
    return [=](settings& target, std::string const& text) -> std::string
    {
        auto const read = parse_socket_address(text);
        if (!read || read->port == 0)
        {
            return "must be an IP number and a port, e.g. 10.0.0.5:8001";
        }
        field(target) = *read;
        return {};
    };
}

std::string store_name(settings& target, std::string const& text)
{
    if (!is_name(text))
    {
        return "must be 1 to 64 letters, digits, '-' or '_'";
    }
    target.node.self.name = host_name{text};
    return {};
}

std::string store_zone(settings& target, std::string const& text)
{
    if (!is_name(text))
    {
        return "must be 1 to 64 letters, digits, '-' or '_'";
    }
    target.node.self.zone = zone_name{text};
    return {};
}

std::string store_level(settings& target, std::string const& text)
{
    constexpr std::string_view names[] = {"debug", "info", "warning", "error"};
    auto const* const found =
        std::find(std::begin(names), std::end(names), text);
    if (found == std::end(names))
    {
        return "must be debug, info, warning or error";
    }
    target.level = static_cast<log_level>(found - std::begin(names));
    return {};
}

std::string store_log_file(settings& target, std::string const& text)
{
    target.log_file = text;
    return {};
}

/// Parses "NAME@IP:port, NAME@IP:port".
std::string store_seeds(settings& target, std::string const& text)
{
    std::string_view rest = text;
    while (!rest.empty())
    {
        auto const comma = std::min(rest.find(','), rest.size());
        auto item = rest.substr(0, comma);
        rest.remove_prefix(std::min(comma + 1, rest.size()));
        while (item.starts_with(' '))
        {
            item.remove_prefix(1);
        }
        auto const at = item.find('@');
        auto const peer = at == std::string_view::npos
                              ? std::nullopt
                              : parse_socket_address(item.substr(at + 1));
        if (!peer || !is_name(item.substr(0, at)))
        {
            return "must be NAME@IP:port, several with commas";
        }
        member_entry seed;
        seed.name = host_name{std::string(item.substr(0, at))};
        seed.peer_address = to_string(*peer);
        target.node.seeds.push_back(seed);
    }
    return {};
}

// The argument is a member path, which cannot be parenthesized.
// NOLINTBEGIN(bugprone-macro-parentheses)
#define FIELD(path)                                                            \
    [](settings & s) -> auto&                                                  \
    {                                                                          \
        return s.path;                                                         \
    }
// NOLINTEND(bugprone-macro-parentheses)

std::vector<settings_key> make_table()
{
    using ms = std::chrono::milliseconds;
    using sec = std::chrono::seconds;
    constexpr std::uint64_t minute_ms = 60'000;
    constexpr std::uint64_t day_s = 86'400;
    constexpr std::uint64_t mebibyte = 1'048'576;
    return {
        {"host", "name", true, store_name},
        {"host", "availability_zone", true, store_zone},
        {"host", "callers", true, address(FIELD(callers))},
        {"host", "peers", true, address(FIELD(peers))},
        {"host", "admin", true, address(FIELD(admin))},
        {"fleet", "seeds", false, store_seeds},
        {"platform", "address", true, address(FIELD(platform))},
        {"platform", "wait_ms", false,
         time<ms>(FIELD(node.platform_wait), 50, 2'000)},
        {"platform", "retry_ms", false,
         time<ms>(FIELD(node.platform_retry), 50, 10'000)},
        {"callers", "workers", false,
         number(FIELD(caller_port.workers), 1, 1'024)},
        {"callers", "max_queued", false,
         number(FIELD(caller_port.max_queued), 1, 100'000)},
        {"callers", "max_connections", false,
         number(FIELD(caller_port.max_connections), 1, 100'000)},
        {"callers", "max_body_bytes", false,
         number(FIELD(caller_port.max_body_bytes), 1, mebibyte)},
        {"callers", "request_memory_bytes", false,
         number(FIELD(caller_port.request_memory_bytes), 8 * mebibyte,
                65'536 * mebibyte)},
        {"callers", "max_head_bytes", false,
         number(FIELD(caller_port.limits.max_head_bytes), 256, 65'536)},
        {"callers", "max_head_lines", false,
         number(FIELD(caller_port.limits.max_head_lines), 4, 1'000)},
        {"callers", "receive_timeout_ms", false,
         time<ms>(FIELD(caller_port.receive_timeout), 10, minute_ms)},
        {"callers", "write_timeout_ms", false,
         time<ms>(FIELD(caller_port.write_timeout), 10, minute_ms)},
        {"callers", "idle_timeout_ms", false,
         time<ms>(FIELD(caller_port.idle_timeout), 10, 60 * minute_ms)},
        {"callers", "max_in_flight", false,
         number(FIELD(node.max_in_flight), 1, 1'000'000)},
        {"requests", "capacity", false,
         number(FIELD(node.ledger.capacity), 1, 10'000'000)},
        {"requests", "response_bytes", false,
         number(FIELD(node.ledger.response_bytes), 1, 1024 * mebibyte)},
        {"requests", "unused_lifetime_s", false,
         time<sec>(FIELD(node.ledger.unused_lifetime), 1, day_s)},
        {"requests", "outcome_retention_s", false,
         time<sec>(FIELD(node.ledger.outcome_retention), 1, day_s)},
        {"membership", "round_ms", false,
         time<ms>(FIELD(node.membership.round), 50, 10'000)},
        {"membership", "fanout", false,
         number(FIELD(node.membership.fanout), 1, 16)},
        {"membership", "suspicion_time_ms", false,
         time<ms>(FIELD(node.membership.suspicion_time), 100, minute_ms)},
        {"membership", "death_time_ms", false,
         time<ms>(FIELD(node.membership.death_time), 100, 10 * minute_ms)},
        {"membership", "readers_per_zone", false,
         number(FIELD(node.membership.readers_per_zone), 1, 100)},
        {"membership", "view_lifetime_ms", false,
         time<ms>(FIELD(node.membership.view_lifetime), 100, 4'500)},
        {"membership", "steward_hold_off_ms", false,
         time<ms>(FIELD(node.membership.steward_hold_off), 100, minute_ms)},
        {"membership", "discovery_lifetime_ms", false,
         time<ms>(FIELD(node.membership.discovery_lifetime), 100,
                  10 * minute_ms)},
        {"membership", "boot_time_ms", false,
         time<ms>(FIELD(node.boot_time), 100, minute_ms)},
        {"log", "level", false, store_level},
        {"log", "file", false, store_log_file},
    };
}

#undef FIELD

std::vector<settings_key> const& table()
{
    static std::vector<settings_key> const rows = make_table();
    return rows;
}

} // namespace

std::span<settings_key const> settings_table()
{
    return table();
}

settings_key const* find_setting(std::string_view section, std::string_view key)
{
    for (auto const& row : settings_table())
    {
        if (row.section == section && row.key == key)
        {
            return &row;
        }
    }
    return nullptr;
}

} // namespace kumquatramp
