// Geometry and SVG output of the burn-rate plot.
#include <algorithm>
#include <burn/render_burn.hpp>
#include <cstdio>
#include <details/burn_plot.hpp>

namespace kumquatramp
{

namespace
{

// Sizes in user units of the SVG.
constexpr double plot_width = 720;
constexpr double plot_height = 120;
constexpr double left_margin = 44;
constexpr double bottom_margin = 20;
constexpr double top_margin = 8;

// The axis always reaches slightly above page_line_rate, so that its line
// shows.
constexpr double min_top_rate = 16;
constexpr double page_line_rate = 14.4;
constexpr double ticket_line_rate = 6;

template <class... Args>
std::string format(char const* pattern, Args... args)
{
    auto const size = std::snprintf(nullptr, 0, pattern, args...);
    std::string text(static_cast<std::size_t>(size) + 1, '\0');
    std::snprintf(text.data(), text.size(), pattern, args...);
    text.pop_back();
    return text;
}

// Burn rate of a single history slice, under the objective of `row`.
double rate_of(burn_counts const& counts, burn_row const& row)
{
    burn_row slice;
    slice.objective = row.objective;
    slice.windows[0] = counts;
    return burn_rate(slice, burn_window::minutes_5);
}

// Maps burn rates to y coordinates; 0 is at the bottom of the plot.
class plot_scale
{
public:
    explicit plot_scale(double top_rate)
        : top_rate_(top_rate)
    {
    }

    double y(double rate) const
    {
        return top_margin + plot_height * (1.0 - rate / top_rate_);
    }

private:
    double top_rate_;
};

std::string alert_line(double rate, char const* name, plot_scale const& scale)
{
    auto const y = scale.y(rate);
    return format("<line x1='%.0f' x2='%.0f' y1='%.1f' y2='%.1f' "
                  "class='%s'/><text x='0' y='%.1f'>%.4g</text>",
                  left_margin, left_margin + plot_width, y, y, name, y + 4,
                  rate);
}

std::string bar(std::size_t bar_index, std::size_t count, double rate,
                burn_counts const& counts, plot_scale const& scale)
{
    auto const width = plot_width / static_cast<double>(count);
    auto const y = scale.y(rate);
    return format("<rect x='%.1f' y='%.1f' width='%.1f' height='%.1f'>"
                  "<title>%llu good, %llu bad, burn rate %.2f</title></rect>",
                  left_margin + width * static_cast<double>(bar_index), y,
                  width * 0.9, scale.y(0) - y,
                  static_cast<unsigned long long>(counts.good),
                  static_cast<unsigned long long>(counts.bad), rate);
}

std::string time_axis(std::size_t count)
{
    auto const hours = std::chrono::duration<double, std::ratio<3600>>(
        static_cast<double>(count) * burn_history_slice);
    auto const y = top_margin + plot_height + 14;
    return format("<text x='%.0f' y='%.0f'>%.3g h ago</text>"
                  "<text x='%.0f' y='%.0f' text-anchor='end'>now</text>",
                  left_margin, y, hours.count(), left_margin + plot_width, y);
}

} // namespace

std::string render_burn_plot(burn_row const& row)
{
    double top_rate = min_top_rate;
    for (auto const& counts : row.history)
    {
        top_rate = std::max(top_rate, rate_of(counts, row));
    }
    plot_scale const scale(top_rate);
    auto svg = format("<svg viewBox='0 0 %.0f %.0f' role='img'>",
                      left_margin + plot_width,
                      top_margin + plot_height + bottom_margin);
    for (std::size_t i = 0; i < row.history.size(); ++i)
    {
        auto const& counts = row.history[i];
        svg += bar(i, row.history.size(), rate_of(counts, row), counts, scale);
    }
    svg += alert_line(page_line_rate, "page", scale);
    svg += alert_line(ticket_line_rate, "ticket", scale);
    svg += time_axis(row.history.size());
    return svg + "</svg>";
}

} // namespace kumquatramp
