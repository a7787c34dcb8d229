// Reads the INI file into typed settings.
#include <algorithm>
#include <base/milliseconds.hpp>
#include <charconv>
#include <fstream>
#include <host/host_settings.hpp>
#include <ini.h>
#include <map>
#include <sstream>

namespace kumquatramp::host
{

namespace
{

using table = std::map<std::string, std::string>;

int take_line(void* user, char const* section, char const* name,
              char const* value)
{
    auto& entries = *static_cast<table*>(user);
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

/// Collects the first fault while keys are read.
class key_reader
{
public:
    explicit key_reader(table entries)
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

    double number(std::string const& key, double otherwise)
    {
        std::string const value = optional_text(key);
        if (value.empty())
        {
            return otherwise;
        }
        double parsed = 0;
        auto const [end, error] =
            std::from_chars(value.data(), value.data() + value.size(), parsed);
        if (error != std::errc{} || end != value.data() + value.size() ||
            parsed < 0)
        {
            fault(key, "is no number of zero or more");
            return otherwise;
        }
        return parsed;
    }

    duration milliseconds(std::string const& key, duration otherwise)
    {
        double const ms = number(
            key, std::chrono::duration<double, std::milli>(otherwise).count());
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
    table entries_;
    std::string fault_;
};

} // namespace

result<host_settings> parse_settings(std::string const& text)
{
    table entries;
    int const bad_line = ini_parse_string(text.c_str(), take_line, &entries);
    if (bad_line != 0)
    {
        return failure(error_kind::invalid_configuration,
                       "line " + std::to_string(bad_line) +
                           " is neither a section nor a key");
    }
    key_reader read(std::move(entries));
    host_settings s;
    s.name = read.text("host.name");
    s.ip = read.text("host.ip");
    s.zone = read.text("host.zone");
    s.cpu_share = read.number("host.cpu_share", s.cpu_share);
    s.clients = read.text("listen.clients");
    s.readiness = read.optional_text("listen.readiness");
    s.control = read.optional_text("listen.control");
    s.directory = read.optional_text("listen.directory");
    double const port = read.number("fleet.gossip_port", 0);
    if (port < 1 || port > 65535)
    {
        read.fault("fleet.gossip_port", "is no port");
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

result<host_settings> read_settings(std::string const& path)
{
    std::ifstream file(path);
    if (!file)
    {
        return failure(error_kind::invalid_configuration,
                       path + " cannot be read");
    }
    std::stringstream text;
    text << file.rdbuf();
    return parse_settings(text.str());
}

} // namespace kumquatramp::host
