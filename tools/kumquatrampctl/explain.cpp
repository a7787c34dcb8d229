// Extracts the log lines that concern one request from JSON logs.
#include "explain.hpp"
#include <algorithm>
#include <deque>
#include <istream>
#include <map>
#include <string_view>
#include <transport/json_text.hpp>

namespace kumquatramp
{

namespace
{

/// Events logged at most this long before the end of a request may have
/// influenced it.
constexpr long long event_window_ms = 10'000;
/// Number of recent events kept per host while the log is read.
constexpr std::size_t max_events_per_host = 2000;

/// Explains an outcome in terms of what the client received and what ran.
std::string describe_outcome(std::string const& outcome)
{
    static std::map<std::string, std::string> const meanings{
        {"answered", "all shards answered"},
        {"answered_in_part",
         "the objective was due before the shards named had answered; the "
         "answer says so"},
        {"relayed", "a target's answer was forwarded unchanged"},
        {"client_left", "the client closed its connection first"},
        {"not_ready", "this host had no configuration yet; nothing ran"},
        {"unknown_path", "no route of this version matches the path"},
        {"overloaded", "every target refused or was full; nothing ran"},
        {"no_target", "too few shards had a usable target; nothing ran"},
        {"leaving", "this host was shutting down; nothing ran"},
        {"malformed_request", "no host name or no request id; nothing ran"},
        {"target_failed",
         "the sends named failed or lost their connection; it may have run"},
        {"target_timeout",
         "the deadline passed while the sends named were unanswered"},
    };
    auto const found = meanings.find(outcome);
    return found == meanings.end() ? outcome : found->second;
}

std::string describe(Json::Value const& line)
{
    std::string const outcome = line["outcome"].asString();
    std::string text = outcome + ": " + describe_outcome(outcome) + "; after " +
                       line["after_ms"].asString() + " ms, route \"" +
                       line["route"].asString() + "\" of version " +
                       line["version"].asString();
    if (line["missing"].asInt() > 0)
    {
        text += ", " + line["missing"].asString() + " of " +
                line["shards"].asString() + " shards missing";
    }
    if (!line["details"].asString().empty())
    {
        text += "\n    " + line["details"].asString();
    }
    return text;
}

} // namespace

std::vector<timeline_entry> explain_request(std::istream& log,
                                            std::string const& id)
{
    std::map<std::string, std::deque<timeline_entry>> events_by_host;
    std::vector<timeline_entry> timeline;
    for (std::string raw; std::getline(log, raw);)
    {
        auto const begin = raw.find('{');
        if (begin == std::string::npos)
        {
            continue;
        }
        auto const line = parse_json(raw.substr(begin));
        if (!line || !line->isObject() || !(*line)["event"].isString())
        {
            continue;
        }
        timeline_entry entry{(*line)["unix_ms"].asInt64(),
                             (*line)["host"].asString(),
                             (*line)["event"].asString(), ""};
        auto& host_events = events_by_host[entry.host];
        if (!(*line)["id"].isString())
        {
            entry.text = (*line)["subject"].asString() + ": " +
                         (*line)["detail"].asString();
            host_events.push_back(std::move(entry));
            if (host_events.size() > max_events_per_host)
            {
                host_events.pop_front();
            }
            continue;
        }
        if ((*line)["id"].asString() != id)
        {
            continue;
        }
        std::string const details = (*line)["details"].asString();
        for (auto const& past_event : host_events)
        {
            auto const subject =
                past_event.text.substr(0, past_event.text.find(':'));
            bool const recent =
                entry.unix_ms - past_event.unix_ms <= event_window_ms;
            bool const named = details.find(subject) != std::string::npos;
            bool const general =
                past_event.event.starts_with("store.") ||
                past_event.event.starts_with("configuration.") ||
                past_event.event.starts_with("host.serving") ||
                past_event.event.starts_with("host.leaving");
            if (recent && (named || general))
            {
                timeline.push_back(past_event);
            }
        }
        entry.text = describe(*line);
        timeline.push_back(std::move(entry));
    }
    std::stable_sort(timeline.begin(), timeline.end(),
                     [](timeline_entry const& a, timeline_entry const& b)
                     { return a.unix_ms < b.unix_ms; });
    return timeline;
}

} // namespace kumquatramp
