// Formats the status of the hosts as tables.
#include "views.hpp"
#include "table.hpp"
#include <array>
#include <cstdio>
#include <functional>

namespace kumquatramp
{

namespace
{

using reports = std::vector<host_report>;

constexpr char const* no_answer = "NO ANSWER";

std::string yes_no(Json::Value const& value)
{
    return value.asBool() ? "yes" : "no";
}

std::string decimal(Json::Value const& value)
{
    if (!value.isNumeric())
    {
        return "never";
    }
    std::array<char, 32> buffer{};
    std::snprintf(buffer.data(), buffer.size(), "%.1f", value.asDouble());
    return buffer.data();
}

/// Adds a row for each element of each host's list, and a row for each host
/// that did not answer.
void each_element(
    reports const& hosts, char const* list, table& rows, std::size_t columns,
    std::function<void(std::string const& host, Json::Value const&)> const& add)
{
    for (auto const& host : hosts)
    {
        if (!host.status)
        {
            std::vector<std::string> row(columns);
            row[0] = host.address;
            row[1] = no_answer;
            rows.add(std::move(row));
            continue;
        }
        for (auto const& element : (*host.status)[list])
        {
            add((*host.status)["name"].asString(), element);
        }
    }
}

std::string status_view(reports const& hosts)
{
    table rows({"HOST", "PHASE", "READY", "VIEW", "AGE MS", "READER",
                "IN FLIGHT", "REFUSED CONFIG"});
    for (auto const& host : hosts)
    {
        if (!host.status)
        {
            rows.add({host.address, no_answer, "", "", "", "", "", ""});
            continue;
        }
        auto const& status = *host.status;
        rows.add({status["name"].asString(), status["phase"].asString(),
                  yes_no(status["ready"]),
                  status["view_valid"].asBool() ? "valid" : "stale",
                  decimal(status["view_age_ms"]),
                  yes_no(status["platform_reader"]),
                  status["in_flight"].asString(),
                  std::to_string(status["refused"].size())});
    }
    return rows.text();
}

std::string hosts_view(reports const& hosts)
{
    table rows({"SEEN BY", "HOST", "ZONE", "STATE", "CALLERS", "PEERS"});
    each_element(hosts, "members", rows, 6,
                 [&](std::string const& host, Json::Value const& member)
                 {
                     rows.add({host, member["name"].asString(),
                               member["availability_zone"].asString(),
                               member["state"].asString(),
                               member["callers"].asString(),
                               member["peers"].asString()});
                 });
    return rows.text();
}

std::string targets_view(reports const& hosts)
{
    table rows({"SEEN BY", "TARGET", "ZONE", "CLOSED BY", "WARM", "LIMIT",
                "IN FLIGHT", "CONNS", "LATENCY MS", "SENT", "REFUSED",
                "FAILED"});
    each_element(
        hosts, "targets", rows, 12,
        [&](std::string const& host, Json::Value const& target)
        {
            rows.add({host, target["name"].asString(),
                      target["availability_zone"].asString(),
                      target["closed_by"].asString(), yes_no(target["warm"]),
                      decimal(target["limit"]), target["in_flight"].asString(),
                      target["connections"].asString(),
                      decimal(target["latency_ms"]), target["sent"].asString(),
                      target["refused"].asString(),
                      target["failed"].asString()});
        });
    return rows.text();
}

std::string drains_view(reports const& hosts)
{
    table rows({"SEEN BY", "TARGET", "ZONE", "CLOSED BY", "IN FLIGHT"});
    each_element(hosts, "targets", rows, 5,
                 [&](std::string const& host, Json::Value const& target)
                 {
                     if (!target["closed_by"].asString().empty())
                     {
                         rows.add({host, target["name"].asString(),
                                   target["availability_zone"].asString(),
                                   target["closed_by"].asString(),
                                   target["in_flight"].asString()});
                     }
                 });
    return rows.text();
}

std::string config_view(reports const& hosts)
{
    table rows({"HOST", "KEY", "VERSION", "HASH", "FAULT"});
    each_element(hosts, "config", rows, 5,
                 [&](std::string const& host, Json::Value const& stamp)
                 {
                     rows.add({host, stamp["key"].asString(),
                               stamp["version"].asString(),
                               stamp["hash"].asString(), ""});
                 });
    for (auto const& host : hosts)
    {
        if (!host.status)
        {
            continue;
        }
        for (auto const& refused : (*host.status)["refused"])
        {
            for (auto const& fault : refused["faults"])
            {
                rows.add({(*host.status)["name"].asString(),
                          refused["key"].asString(),
                          refused["version"].asString(), "REFUSED",
                          "line " + fault["line"].asString() + ": " +
                              fault["reason"].asString()});
            }
        }
    }
    return rows.text();
}

} // namespace

std::string view_text(std::string_view view, reports const& hosts)
{
    if (view == "status")
    {
        return status_view(hosts);
    }
    if (view == "hosts")
    {
        return hosts_view(hosts);
    }
    if (view == "targets")
    {
        return targets_view(hosts);
    }
    if (view == "drains")
    {
        return drains_view(hosts);
    }
    return view == "config" ? config_view(hosts) : std::string();
}

} // namespace kumquatramp
