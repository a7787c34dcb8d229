// Reads JSON lines and keeps what concerns one request.
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

/// Beliefs noted so long before a request's end may have decided on it.
constexpr long long background_ms = 10'000;
/// Notes kept of each host while the log is read.
constexpr std::size_t most_notes = 2000;

/// What an outcome means for the client and where to look next.
std::string meaning(std::string const& outcome)
{
    static std::map<std::string, std::string> const meanings{
        {"answered", "all parts were in"},
        {"answered_in_part",
         "the objective came before the shards named; the answer says so"},
        {"relayed", "a target's answer was passed on as it was"},
        {"client_left", "the client closed its connection first"},
        {"not_ready", "this host knew no configuration yet; nothing ran"},
        {"unknown_path", "no route of the version takes this path"},
        {"overloaded", "every target refused or was full; nothing ran"},
        {"no_target", "too few shards had a usable target; nothing ran"},
        {"leaving", "this host was shutting down; nothing ran"},
        {"malformed_request", "no host name or no request id; nothing ran"},
        {"target_failed", "the sends named broke or failed; it may have run"},
        {"target_timeout", "the time was over with the sends named still out"},
    };
    auto const found = meanings.find(outcome);
    return found == meanings.end() ? outcome : found->second;
}

std::string tell(Json::Value const& line)
{
    std::string const outcome = line["outcome"].asString();
    std::string text = outcome + ": " + meaning(outcome) + "; after " +
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

std::vector<explained_line> explain_request(std::istream& log,
                                            std::string const& id)
{
    std::map<std::string, std::deque<explained_line>> notes;
    std::vector<explained_line> story;
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
        explained_line entry{(*line)["unix_ms"].asInt64(),
                             (*line)["host"].asString(),
                             (*line)["event"].asString(), ""};
        auto& background = notes[entry.host];
        if (!(*line)["id"].isString())
        {
            entry.text = (*line)["subject"].asString() + ": " +
                         (*line)["detail"].asString();
            background.push_back(std::move(entry));
            if (background.size() > most_notes)
            {
                background.pop_front();
            }
            continue;
        }
        if ((*line)["id"].asString() != id)
        {
            continue;
        }
        std::string const details = (*line)["details"].asString();
        for (auto const& note : background)
        {
            auto const subject = note.text.substr(0, note.text.find(':'));
            bool const recent = entry.unix_ms - note.unix_ms <= background_ms;
            bool const named = details.find(subject) != std::string::npos;
            bool const general = note.event.starts_with("store.") ||
                                 note.event.starts_with("configuration.") ||
                                 note.event.starts_with("host.serving") ||
                                 note.event.starts_with("host.leaving");
            if (recent && (named || general))
            {
                story.push_back(note);
            }
        }
        entry.text = tell(*line);
        story.push_back(std::move(entry));
    }
    std::stable_sort(story.begin(), story.end(),
                     [](explained_line const& a, explained_line const& b)
                     { return a.unix_ms < b.unix_ms; });
    return story;
}

} // namespace kumquatramp
