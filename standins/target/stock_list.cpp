// Loads the stock list that the stand-in targets search.
#include <charconv>
#include <fstream>
#include <sstream>
#include <standins/target/stock_list.hpp>

namespace kumquatramp::standins
{

namespace
{

bool read_number(std::string const& text, std::uint32_t& out)
{
    auto const* const end = text.data() + text.size();
    auto const parsed = std::from_chars(text.data(), end, out);
    return !text.empty() && parsed.ec == std::errc{} && parsed.ptr == end;
}

bool read_bookings(std::string const& text, stock_item& item)
{
    std::istringstream list(text);
    std::string entry;
    while (std::getline(list, entry, ','))
    {
        auto const middle = entry.find('=');
        if (middle == std::string::npos)
        {
            return false;
        }
        auto& pieces = item.booked[entry.substr(0, middle)];
        if (!read_number(entry.substr(middle + 1), pieces))
        {
            return false;
        }
    }
    return true;
}

bool read_item(std::string const& line, stock_item& item)
{
    std::istringstream fields(line);
    std::string quantity;
    std::string bookings;
    std::getline(fields, item.article, '\t');
    std::getline(fields, item.size, '\t');
    std::getline(fields, item.colour, '\t');
    std::getline(fields, quantity, '\t');
    std::getline(fields, bookings, '\t');
    return !item.article.empty() && read_number(quantity, item.quantity) &&
           read_bookings(bookings, item);
}

} // namespace

std::uint32_t stock_item::free_on(std::string const& date) const
{
    auto const found = booked.find(date);
    auto const taken = found == booked.end() ? 0 : found->second;
    return quantity - std::min(quantity, taken);
}

result<std::vector<stock_item>> load_stock(std::string const& path)
{
    std::ifstream file(path);
    if (!file)
    {
        return failure(error_kind::malformed_request, "cannot read " + path);
    }
    std::vector<stock_item> items;
    std::string line;
    for (int number = 1; std::getline(file, line); ++number)
    {
        if (line.empty() || line.front() == '#')
        {
            continue;
        }
        stock_item item;
        if (!read_item(line, item))
        {
            return failure(error_kind::malformed_request,
                           path + ":" + std::to_string(number) +
                               ": malformed line");
        }
        items.push_back(std::move(item));
    }
    return items;
}

} // namespace kumquatramp::standins
