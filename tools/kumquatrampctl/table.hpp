// Formats a plain-text table with aligned columns.
#ifndef KUMQUATRAMP_TOOLS_KUMQUATRAMPCTL_TABLE_HPP
#define KUMQUATRAMP_TOOLS_KUMQUATRAMPCTL_TABLE_HPP

#include <string>
#include <vector>

namespace kumquatramp
{

class table
{
public:
    explicit table(std::vector<std::string> header);

    /// Adds a row, which must have as many cells as the header.
    void add(std::vector<std::string> row);

    /// Formats the table; each column is as wide as its widest cell.
    std::string text() const;

private:
    std::vector<std::vector<std::string>> rows_; // the first row is the header
};

} // namespace kumquatramp

#endif
