// Loads the stock list that the stand-in targets search.
#ifndef KUMQUATRAMP_STANDINS_TARGET_STOCK_LIST_HPP
#define KUMQUATRAMP_STANDINS_TARGET_STOCK_LIST_HPP

#include <base/result.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace kumquatramp::standins
{

struct stock_item
{
    std::string article;
    std::string size;
    std::string colour;
    std::uint32_t quantity = 0;
    std::map<std::string, std::uint32_t> booked; ///< pieces booked, by date

    /// Pieces available on a date; all pieces for an empty date.
    std::uint32_t free_on(std::string const& date) const;
};

/// Reads a file of tab-separated lines: article, size, colour, quantity and
/// "date=pieces,...". Empty lines and lines that start with "#" are ignored.
/// Fails with malformed_request if the file cannot be read, or for the first
/// malformed line, which the error names.
result<std::vector<stock_item>> load_stock(std::string const& path);

} // namespace kumquatramp::standins

#endif
