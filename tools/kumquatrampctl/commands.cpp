// Implements the subcommands of kumquatrampctl.
#include "commands.hpp"
#include "explain.hpp"
#include "host_query.hpp"
#include "options.hpp"
#include "table.hpp"
#include "views.hpp"
#include <array>
#include <burn/burn_row.hpp>
#include <burn/render_burn.hpp>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <iterator>
#include <rules/parse_rules.hpp>
#include <rules/ruleset.hpp>
#include <transport/json_text.hpp>
#include <utility>

namespace kumquatramp
{

namespace
{

constexpr int http_ok = 200;

void print(std::string const& text)
{
    std::fwrite(text.data(), 1, text.size(), stdout);
}

std::string number(double value, char const* format)
{
    std::array<char, 32> buffer{};
    std::snprintf(buffer.data(), buffer.size(), format, value);
    return buffer.data();
}

std::string burn_table(std::vector<burn_row> const& rows)
{
    std::vector<std::string> header{"SERVICE", "OBJECTIVE", "HOSTS"};
    for (auto const window : all_burn_windows)
    {
        header.push_back("BURN " + std::string(to_string(window)));
    }
    header.insert(header.end(), {"BUDGET LEFT", "ALERT"});
    table text(std::move(header));
    for (auto const& row : rows)
    {
        std::vector<std::string> cells{row.service.value(),
                                       number(row.objective * 100, "%.3g%%"),
                                       std::to_string(row.hosts)};
        for (auto const window : all_burn_windows)
        {
            cells.push_back(number(burn_rate(row, window), "%.2f"));
        }
        cells.push_back(number(budget_left(row) * 100, "%.1f%%"));
        cells.emplace_back(to_string(alert_of(row)));
        text.add(std::move(cells));
    }
    return text.text();
}

int write_page(std::string const& file, std::vector<burn_row> const& rows)
{
    std::ofstream page(file);
    page << render_burn_html(rows, "kumquatramp");
    page.close();
    if (!page)
    {
        std::fprintf(stderr, "%s: cannot be written\n", file.c_str());
        return exit_usage;
    }
    return exit_success;
}

} // namespace

int check_rules(ctl_options const& options)
{
    std::ifstream file(options.argument);
    if (!file)
    {
        std::fprintf(stderr, "%s: cannot be read\n", options.argument.c_str());
        return exit_usage;
    }
    std::string const text{std::istreambuf_iterator<char>(file), {}};
    auto const parsed = parse_rules(text);
    Json::Value faults(Json::arrayValue);
    if (!parsed)
    {
        for (auto const& fault : parsed.error())
        {
            Json::Value line;
            line["line"] = fault.line;
            line["reason"] = fault.reason;
            faults.append(line);
            if (!options.json)
            {
                print(options.argument + ":" + std::to_string(fault.line) +
                      ": " + fault.reason + "\n");
            }
        }
    }
    if (options.json)
    {
        Json::Value body;
        body["file"] = options.argument;
        body["faults"] = faults;
        print(to_json_text(body) + "\n");
    }
    else if (parsed)
    {
        print(options.argument + ": valid\n");
    }
    return parsed ? exit_success : exit_faults;
}

int show_view(ctl_options const& options)
{
    auto const reports = fetch_status(options.admins);
    int code = exit_success;
    Json::Value all(Json::arrayValue);
    for (auto const& report : reports)
    {
        Json::Value entry;
        entry["admin"] = report.address;
        entry["status"] = report.status.value_or(Json::Value());
        all.append(entry);
        code = report.status ? code : exit_unreachable;
    }
    print(options.json ? to_json_text(all) + "\n"
                       : view_text(options.command, reports));
    return code;
}

int show_outcome(ctl_options const& options)
{
    auto const answer =
        fetch(options.callers, "/v1/request-ids/" + options.argument);
    if (!answer)
    {
        std::fprintf(stderr, "%s: no answer\n",
                     to_string(options.callers).c_str());
        return exit_unreachable;
    }
    if (options.json)
    {
        print(answer->body + "\n");
        return answer->status == http_ok ? exit_success : exit_faults;
    }
    auto const body = parse_json(answer->body).value_or(Json::Value());
    if (answer->status != http_ok)
    {
        auto const& fault = body["error"];
        print(fault["code"].asString() + ": " + fault["text"].asString() + " " +
              fault["detail"].asString() + "\n");
        return exit_faults;
    }
    table rows({"REQUEST ID", "STATE", "ERROR", "RESULT"});
    rows.add({body["request_id"].asString(), body["state"].asString(),
              body["error"].asString(),
              body.isMember("result") ? to_json_text(body["result"]) : ""});
    print(rows.text());
    return exit_success;
}

int explain(ctl_options const& options)
{
    std::ifstream file;
    if (options.file != "-")
    {
        file.open(options.file);
        if (!file)
        {
            std::fprintf(stderr, "%s: cannot be read\n", options.file.c_str());
            return exit_usage;
        }
    }
    auto const timeline = explain_request(options.file == "-" ? std::cin : file,
                                          options.argument);
    Json::Value lines(Json::arrayValue);
    for (auto const& line : timeline)
    {
        Json::Value entry;
        entry["unix_ms"] = static_cast<Json::Int64>(line.unix_ms);
        entry["host"] = line.host;
        entry["event"] = line.event;
        entry["text"] = line.text;
        lines.append(entry);
        if (!options.json)
        {
            print(std::to_string(line.unix_ms) + " " + line.host + " " +
                  line.event + "\n    " + line.text + "\n");
        }
    }
    if (options.json)
    {
        print(to_json_text(lines) + "\n");
    }
    if (timeline.empty())
    {
        std::fprintf(stderr,
                     "%s: no log line; the request succeeded and was not "
                     "sampled, or another host logged it\n",
                     options.argument.c_str());
        return exit_faults;
    }
    return exit_success;
}

int show_burn(ctl_options const& options)
{
    int code = exit_success;
    std::vector<std::vector<burn_row>> hosts;
    for (auto const& admin : options.admins)
    {
        auto const answer = fetch(admin, "/v1/burn");
        auto rows = answer ? parse_burn_json(answer->body)
                           : result<std::vector<burn_row>>(
                                 failure(error_kind::platform_unavailable, {}));
        if (!rows)
        {
            std::fprintf(stderr, "%s: no answer\n", to_string(admin).c_str());
            code = exit_unreachable;
            continue;
        }
        hosts.push_back(std::move(rows.value()));
    }
    auto const rows = add_burn_rows(hosts);
    print(options.json ? render_burn_json(rows) + "\n" : burn_table(rows));
    if (!options.html.empty())
    {
        auto const written = write_page(options.html, rows);
        code = written == exit_success ? code : written;
    }
    return code;
}

} // namespace kumquatramp
