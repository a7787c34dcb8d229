// Renders the burn report as a self-contained HTML page.
#include <burn/render_burn.hpp>
#include <cstdio>
#include <details/burn_plot.hpp>

namespace kumquatramp
{

namespace
{

constexpr std::string_view style = R"(<style>
body { font: 15px/1.4 sans-serif; max-width: 60em; margin: 2em auto;
       padding: 0 1em; color: #222; background: #fff; }
table { border-collapse: collapse; width: 100%; }
th, td { padding: .3em .6em; text-align: right;
         border-bottom: 1px solid #ddd; }
th:first-child, td:first-child { text-align: left; }
.page { color: #b00020; font-weight: bold; stroke: #b00020; }
.ticket { color: #9a6700; font-weight: bold; stroke: #9a6700; }
svg { width: 100%; height: auto; font-size: 11px; }
svg rect { fill: #4a78b0; }
svg line { stroke-dasharray: 4 3; }
</style>
)";

std::string escape(std::string_view text)
{
    std::string escaped;
    for (char const letter : text)
    {
        switch (letter)
        {
        case '&':
            escaped += "&amp;";
            break;
        case '<':
            escaped += "&lt;";
            break;
        case '>':
            escaped += "&gt;";
            break;
        case '"':
            escaped += "&quot;";
            break;
        case '\'':
            escaped += "&#39;";
            break;
        default:
            escaped += letter;
        }
    }
    return escaped;
}

std::string format_number(double value, char const* pattern)
{
    constexpr std::size_t max_chars = 64;
    char text[max_chars];
    std::snprintf(text, sizeof text, pattern, value);
    return text;
}

std::string cell(std::string_view text)
{
    return "<td>" + std::string(text) + "</td>";
}

std::string table_head()
{
    std::string head = "<tr><th>Service</th><th>Objective</th>"
                       "<th>Events (24h)</th>";
    for (auto const window : all_burn_windows)
    {
        head += "<th>Burn " + std::string(to_string(window)) + "</th>";
    }
    return head + "<th>Budget left</th><th>Alert</th></tr>\n";
}

std::string objective_text(burn_row const& row)
{
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    auto const within = duration_cast<milliseconds>(row.within).count();
    return format_number(row.objective * 100, "%.5g%%") + " within " +
           std::to_string(within) + " ms";
}

std::string table_row(burn_row const& row)
{
    auto const total = row.counts(burn_window::day).total();
    auto text = "<tr>" + cell(escape(row.service.value())) +
                cell(objective_text(row)) + cell(std::to_string(total));
    for (auto const window : all_burn_windows)
    {
        text += cell(format_number(burn_rate(row, window), "%.2f"));
    }
    text += cell(format_number(budget_left(row) * 100, "%.1f%%"));
    auto const alert = std::string(to_string(alert_of(row)));
    return text + "<td class='" + alert + "'>" + alert + "</td></tr>\n";
}

std::string legend()
{
    return "<p>A burn rate of 1 spends the error budget in exactly 24 h. "
           "Page: above 14.4 over both 5 min and 1 h. Ticket: above 6 over "
           "both 30 min and 6 h. The lines in the plots mark these "
           "rates; each bar is 5 min.</p>\n";
}

} // namespace

std::string render_burn_html(std::span<burn_row const> rows,
                             std::string_view title)
{
    auto const heading = escape(title);
    std::string page = "<!doctype html>\n<html lang='en'><head>"
                       "<meta charset='utf-8'><title>" +
                       heading + "</title>\n" + std::string(style) +
                       "</head><body><h1>" + heading + "</h1>\n<table>\n" +
                       table_head();
    for (auto const& row : rows)
    {
        page += table_row(row);
    }
    page += "</table>\n" + legend();
    for (auto const& row : rows)
    {
        page += "<h2>" + escape(row.service.value()) + "</h2>\n" +
                render_burn_plot(row) + "\n";
    }
    return page + "</body></html>\n";
}

} // namespace kumquatramp
