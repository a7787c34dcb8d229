// Parses and validates the INI file of settings.
#include <algorithm>
#include <base/milliseconds.hpp>
#include <charconv>
#include <cmath>
#include <fstream>
#include <host/host_settings.hpp>
#include <ini.h>
#include <map>
#include <sstream>

namespace kumquatramp::host
{

namespace
{

/// Least memory and descriptors with which a host can serve.
constexpr std::size_t min_memory_mb = 32;
constexpr std::size_t min_max_fds = 400;
constexpr double max_whole_number = 1e9;

using ini_entries = std::map<std::string, std::string>;

int add_entry(void* user, char const* section, char const* name,
              char const* value)
{
    auto& entries = *static_cast<ini_entries*>(user);
    entries[std::string(section) + "." + name] = value;
    return 1;
}

std::vector<std::string> split(std::string const& text)
{
    std::vector<std::string> parts;
    std::stringstream stream(text);
    for (std::string part; std::getline(stream, part, ',');)
    {
        std::erase(part, ' ');
        if (!part.empty())
        {
            parts.push_back(part);
        }
    }
    return parts;
}

/// Reads typed values by key and keeps the first fault.
class key_reader
{
public:
    explicit key_reader(ini_entries entries)
        : entries_(std::move(entries))
    {
    }

    std::string text(std::string const& key)
    {
        auto const found = entries_.find(key);
        if (found == entries_.end() || found->second.empty())
        {
            fault(key, "is missing");
            return {};
        }
        return found->second;
    }

    std::string optional_text(std::string const& key) const
    {
        auto const found = entries_.find(key);
        return found == entries_.end() ? std::string() : found->second;
    }

    double number(std::string const& key, double default_value)
    {
        std::string const value = optional_text(key);
        if (value.empty())
        {
            return default_value;
        }
        double parsed = 0;
        auto const [end, error] =
            std::from_chars(value.data(), value.data() + value.size(), parsed);
        if (error != std::errc{} || end != value.data() + value.size() ||
            parsed < 0)
        {
            fault(key, "is not a number >= 0");
            return default_value;
        }
        return parsed;
    }

    std::size_t whole_number(std::string const& key, std::size_t default_value,
                             std::size_t least)
    {
        if (optional_text(key).empty())
        {
            return default_value;
        }
        double const value = number(key, static_cast<double>(default_value));
        if (value < static_cast<double>(least) || value > max_whole_number ||
            value != std::floor(value))
        {
            fault(key, "is not a whole number from " + std::to_string(least) +
                           " to 1e9");
            return default_value;
        }
        return static_cast<std::size_t>(value);
    }

    duration milliseconds(std::string const& key, duration default_value)
    {
        double const ms = number(
            key,
            std::chrono::duration<double, std::milli>(default_value).count());
        return std::chrono::duration_cast<duration>(
            std::chrono::duration<double, std::milli>(ms));
    }

    std::string const& fault() const { return fault_; }

    void fault(std::string const& key, std::string const& what)
    {
        if (fault_.empty())
        {
            fault_ = key + " " + what;
        }
    }

private:
    ini_entries entries_;
    std::string fault_;
};

} // namespace

result<host_settings> parse_settings(std::string const& text,
                                     machine_limits const& machine)
{
    ini_entries entries;
    int const bad_line = ini_parse_string(text.c_str(), add_entry, &entries);
    if (bad_line != 0)
    {
        return failure(error_kind::invalid_configuration,
                       "line " + std::to_string(bad_line) +
                           " is neither a section nor a key with a value");
    }
    key_reader read(std::move(entries));
    host_settings s;
    s.name = read.text("host.name");
    s.ip = read.text("host.ip");
    s.zone = read.text("host.zone");
    s.cpu_share = read.number("host.cpu_share", s.cpu_share);
    s.machine.memory_mb =
        read.whole_number("host.memory_mb", machine.memory_mb, min_memory_mb);
    s.machine.max_fds =
        read.whole_number("host.max_fds", machine.max_fds, min_max_fds);
    s.clients = read.text("listen.clients");
    s.readiness = read.optional_text("listen.readiness");
    s.control = read.optional_text("listen.control");
    s.directory = read.optional_text("listen.directory");
    double const port = read.number("fleet.gossip_port", 0);
    if (port < 1 || port > 65535)
    {
        read.fault("fleet.gossip_port", "is not a port number (1 to 65535)");
    }
    s.gossip_port = static_cast<std::uint16_t>(port);
    s.seeds = split(read.optional_text("fleet.seeds"));
    s.store = read.text("store.address");
    s.told_share = read.number("log.told_share", s.told_share);
    s.retry_ratio = read.number("bounds.retry_ratio", s.retry_ratio);
    s.retry_slack = read.number("bounds.retry_slack", s.retry_slack);
    s.retry_window =
        read.milliseconds("bounds.retry_window_s", s.retry_window / 1000) *
        1000;
    s.drain_bound = read.milliseconds("bounds.drain_ms", s.drain_bound);
    s.shutdown_grace =
        read.milliseconds("bounds.shutdown_grace_s", s.shutdown_grace / 1000) *
        1000;
    s.contact_bound = read.milliseconds("bounds.contact_ms", s.contact_bound);
    s.directory_ttl =
        read.milliseconds("bounds.directory_ttl_s", s.directory_ttl / 1000) *
        1000;
    if (!read.fault().empty())
    {
        return failure(error_kind::invalid_configuration, read.fault());
    }
    return s;
}

result<host_settings> read_settings(std::string const& path,
                                    machine_limits const& machine)
{
    std::ifstream file(path);
    if (!file)
    {
        return failure(error_kind::invalid_configuration,
                       path + " cannot be read");
    }
    std::stringstream text;
    text << file.rdbuf();
    return parse_settings(text.str(), machine);
}

} // namespace kumquatramp::host
