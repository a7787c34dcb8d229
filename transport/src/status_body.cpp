// Renders a node's status as JSON and as metrics.
#include <cstdio>
#include <details/status_body.hpp>

namespace kumquatramp
{

namespace
{

double milliseconds(duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

std::string hex(std::uint64_t number)
{
    char buffer[17];
    std::snprintf(buffer, sizeof buffer, "%016llx",
                  static_cast<unsigned long long>(number));
    return buffer;
}

std::string snapshot_text(snapshot_id snapshot)
{
    return std::to_string(snapshot.map) + "/" + std::to_string(snapshot.index);
}

Json::Value config_json(node_status const& status)
{
    Json::Value list(Json::arrayValue);
    for (auto const& stamp : status.stamps)
    {
        Json::Value entry;
        entry["key"] = std::string(to_string(stamp.key));
        entry["version"] =
            static_cast<Json::UInt64>(stamp.stamp.version.value());
        entry["hash"] = hex(stamp.stamp.hash);
        list.append(entry);
    }
    return list;
}

Json::Value refused_json(node_status const& status)
{
    Json::Value list(Json::arrayValue);
    for (auto const& refused : status.refused)
    {
        Json::Value entry;
        entry["key"] = std::string(to_string(refused.key));
        entry["version"] = static_cast<Json::UInt64>(refused.version.value());
        entry["faults"] = Json::Value(Json::arrayValue);
        for (auto const& fault : refused.faults)
        {
            Json::Value line;
            line["line"] = fault.line;
            line["reason"] = fault.reason;
            entry["faults"].append(line);
        }
        list.append(entry);
    }
    return list;
}

Json::Value members_json(node_status const& status)
{
    Json::Value list(Json::arrayValue);
    for (auto const& member : status.members)
    {
        Json::Value entry;
        entry["name"] = member.entry.name.value();
        entry["availability_zone"] = member.entry.zone.value();
        entry["callers"] = member.entry.caller_address;
        entry["peers"] = member.entry.peer_address;
        entry["state"] = std::string(to_string(member.state));
        list.append(entry);
    }
    return list;
}

Json::Value services_json(node_status const& status)
{
    Json::Value list(Json::arrayValue);
    for (auto const& service : status.services)
    {
        Json::Value entry;
        entry["name"] = service.name.value();
        entry["idempotent"] = service.idempotent;
        entry["queued"] = service.queued;
        entry["snapshot"] = snapshot_text(service.snapshot);
        list.append(entry);
    }
    return list;
}

Json::Value target_json(target_status const& target)
{
    Json::Value entry;
    entry["name"] = target.name.value();
    entry["service"] = target.service.value();
    entry["availability_zone"] = target.zone.value();
    entry["address"] = target.address;
    entry["closed_by"] = target.closed_by;
    entry["warm"] = target.gate.warmth_seen.warm;
    entry["warmth_epoch"] = target.gate.warmth_seen.epoch;
    entry["steward"] = target.gate.bounds.steward;
    entry["share"] = target.gate.bounds.share;
    entry["limit"] = target.gate.limit;
    entry["in_flight"] = target.gate.in_flight;
    entry["connections"] = target.gate.connections;
    entry["latency_ms"] = milliseconds(target.gate.latency);
    entry["sent"] = static_cast<Json::UInt64>(target.gate.sent);
    entry["refused"] = static_cast<Json::UInt64>(target.gate.refused);
    entry["failed"] = static_cast<Json::UInt64>(target.gate.failed);
    return entry;
}

std::string gauge(char const* name, char const* help, double value)
{
    char buffer[32];
    std::snprintf(buffer, sizeof buffer, "%.9g", value);
    return std::string("# HELP ") + name + " " + help + "\n# TYPE " + name +
           " gauge\n" + name + " " + buffer + "\n";
}

} // namespace

Json::Value status_json(node_status const& status, bool ready)
{
    Json::Value value;
    value["name"] = status.self.name.value();
    value["availability_zone"] = status.self.zone.value();
    value["callers"] = status.self.caller_address;
    value["incarnation"] = hex(status.life.value());
    value["phase"] = std::string(to_string(status.phase));
    value["ready"] = ready;
    value["booted"] = status.booted;
    value["view_valid"] = status.view_valid;
    bool const confirmed = status.view_age != duration::max();
    value["view_age_ms"] =
        confirmed ? Json::Value(milliseconds(status.view_age)) : Json::Value();
    value["platform_reader"] = status.platform_reader;
    value["in_flight"] = status.in_flight;
    value["config"] = config_json(status);
    value["refused"] = refused_json(status);
    value["members"] = members_json(status);
    value["services"] = services_json(status);
    value["targets"] = Json::Value(Json::arrayValue);
    for (auto const& target : status.targets)
    {
        value["targets"].append(target_json(target));
    }
    return value;
}

std::string status_metrics(node_status const& status, bool ready)
{
    auto text = gauge("kumquatramp_ready", "1 if new requests are taken.",
                      ready ? 1 : 0);
    text += gauge("kumquatramp_in_flight", "Callers' requests in progress.",
                  status.in_flight);
    bool const confirmed = status.view_age != duration::max();
    text += gauge("kumquatramp_view_age_seconds",
                  "Time since the configuration was confirmed; -1 if never.",
                  confirmed ? milliseconds(status.view_age) / 1000.0 : -1);
    text += gauge("kumquatramp_config_refused",
                  "Platform values that are refused now.",
                  static_cast<double>(status.refused.size()));
    text += "# HELP kumquatramp_config_version Version in force.\n"
            "# TYPE kumquatramp_config_version gauge\n";
    for (auto const& stamp : status.stamps)
    {
        text += "kumquatramp_config_version{key=\"" +
                std::string(to_string(stamp.key)) + "\"} " +
                std::to_string(stamp.stamp.version.value()) + "\n";
    }
    text += "# HELP kumquatramp_target_in_flight Sends to a target.\n"
            "# TYPE kumquatramp_target_in_flight gauge\n";
    for (auto const& target : status.targets)
    {
        text += "kumquatramp_target_in_flight{target=\"" + target.name.value() +
                "\"} " + std::to_string(target.gate.in_flight) + "\n";
    }
    return text;
}

} // namespace kumquatramp
