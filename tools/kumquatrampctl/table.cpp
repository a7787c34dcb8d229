// Formats a plain-text table with aligned columns.
#include "table.hpp"
#include <algorithm>
#include <utility>

namespace kumquatramp
{

table::table(std::vector<std::string> header)
{
    rows_.push_back(std::move(header));
}

void table::add(std::vector<std::string> row)
{
    rows_.push_back(std::move(row));
}

std::string table::text() const
{
    std::vector<std::size_t> widths(rows_.front().size());
    for (auto const& row : rows_)
    {
        for (std::size_t i = 0; i < row.size(); ++i)
        {
            widths[i] = std::max(widths[i], row[i].size());
        }
    }
    std::string text;
    for (auto const& row : rows_)
    {
        std::string line;
        for (std::size_t i = 0; i < row.size(); ++i)
        {
            line += row[i];
            line.append(widths[i] - row[i].size() + 2, ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        text += line + "\n";
    }
    return text;
}

} // namespace kumquatramp
