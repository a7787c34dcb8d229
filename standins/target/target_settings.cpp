// Behaviour settings of one stand-in target.
#include <array>
#include <charconv>
#include <sstream>
#include <standins/target/target_settings.hpp>

namespace kumquatramp::standins
{

namespace
{

template <class Number>
bool read(std::string_view text, Number& out)
{
    Number number{};
    auto const* const end = text.data() + text.size();
    auto const parsed = std::from_chars(text.data(), end, number);
    if (text.empty() || parsed.ec != std::errc{} || parsed.ptr != end)
    {
        return false;
    }
    out = number;
    return true;
}

bool read(std::string_view text, bool& out)
{
    out = text == "1";
    return text == "0" || text == "1";
}

bool read(std::string_view text, std::string& out)
{
    out = text;
    return !text.empty();
}

bool read(std::string_view text, milliseconds& out)
{
    double number = 0;
    bool const good = read(text, number) && number >= 0;
    out = milliseconds(number);
    return good;
}

template <class Enum, std::size_t N>
bool read_word(std::string_view text,
               std::array<std::string_view, N> const& words, Enum& out)
{
    for (std::size_t i = 0; i < N; ++i)
    {
        if (words[i] == text)
        {
            out = static_cast<Enum>(i);
            return true;
        }
    }
    return false;
}

bool read(std::string_view text, answer_fault& out)
{
    static constexpr std::array<std::string_view, 6> words{
        "none", "late", "truncated", "garbage", "crossed", "failed"};
    return read_word(text, words, out);
}

bool read(std::string_view text, load_report_mode& out)
{
    static constexpr std::array<std::string_view, 5> words{
        "honest", "idle", "busy", "lagging", "none"};
    return read_word(text, words, out);
}

/// Calls callback(first, second) for each "first<separator>second" of a
/// comma-separated list.
template <class Callback>
bool read_pairs(std::string_view text, char separator, Callback callback)
{
    while (!text.empty())
    {
        auto const comma = std::min(text.find(','), text.size());
        auto const pair = text.substr(0, comma);
        text.remove_prefix(std::min(comma + 1, text.size()));
        auto const middle = pair.find(separator);
        std::uint64_t first = 0;
        std::uint64_t second = 0;
        if (middle == std::string_view::npos ||
            !read(pair.substr(0, middle), first) ||
            !read(pair.substr(middle + 1), second))
        {
            return false;
        }
        callback(first, second);
    }
    return true;
}

bool read_numbers(std::string_view text, char separator,
                  std::map<std::uint64_t, std::uint32_t>& out)
{
    out.clear();
    return read_pairs(text, separator,
                      [&](std::uint64_t first, std::uint64_t second)
                      { out[first] = static_cast<std::uint32_t>(second); }) &&
           !out.empty();
}

bool read(std::string_view text, std::vector<snapshot_id>& out)
{
    out.clear();
    return read_pairs(text, '/',
                      [&](std::uint64_t map, std::uint64_t index) {
                          out.push_back({map, index});
                      });
}

bool set_behaviour(target_settings& all, std::string_view key,
                   std::string_view value)
{
    if (key == "straggle_share")
    {
        return read(value, all.straggle_share);
    }
    if (key == "straggle_factor")
    {
        return read(value, all.straggle_factor);
    }
    if (key == "fault")
    {
        return read(value, all.fault);
    }
    if (key == "fault_share")
    {
        return read(value, all.fault_share);
    }
    if (key == "load_report")
    {
        return read(value, all.load);
    }
    if (key == "drain")
    {
        return read(value, all.drain);
    }
    if (key == "restart")
    {
        ++all.restarts;
        return value == "1";
    }
    return false;
}

bool set_size(target_settings& all, std::string_view key,
              std::string_view value)
{
    if (key == "slots")
    {
        return read(value, all.slots) && all.slots > 0;
    }
    if (key == "queue")
    {
        return read(value, all.queue);
    }
    if (key == "connections")
    {
        return read(value, all.connections) && all.connections > 0;
    }
    if (key == "connect_ms")
    {
        return read(value, all.connect_cost);
    }
    if (key == "service_ms")
    {
        return read(value, all.service_time);
    }
    if (key == "warm_after")
    {
        return read(value, all.warm_after);
    }
    if (key == "cold_slots")
    {
        return read(value, all.cold_slots);
    }
    if (key == "fall_ms")
    {
        return read(value, all.collapse_time);
    }
    return set_behaviour(all, key, value);
}

bool set_key(target_settings& all, std::string_view key, std::string_view value)
{
    if (key == "name")
    {
        return read(value, all.name);
    }
    if (key == "service")
    {
        return read(value, all.service);
    }
    if (key == "port")
    {
        return read(value, all.port);
    }
    if (key == "places")
    {
        return read_numbers(value, '/', all.places);
    }
    if (key == "maps")
    {
        return read_numbers(value, ':', all.maps);
    }
    if (key == "holds")
    {
        return read(value, all.holds);
    }
    if (key == "once")
    {
        return read(value, all.once);
    }
    if (key == "seed")
    {
        return read(value, all.seed);
    }
    return set_size(all, key, value);
}

} // namespace

result<void> target_settings::set(std::string_view key, std::string_view value)
{
    auto changed = *this;
    if (!set_key(changed, key, value))
    {
        return failure(error_kind::malformed_request,
                       "unknown key or invalid value: " + std::string(key) +
                           "=" + std::string(value));
    }
    *this = std::move(changed);
    return boost::outcome_v2::success();
}

result<target_settings> parse_target_line(std::string_view line)
{
    target_settings settings;
    std::istringstream words{std::string(line.substr(0, line.find('#')))};
    std::string word;
    while (words >> word)
    {
        auto const middle = std::min(word.find('='), word.size());
        std::string_view const view = word;
        auto const value = view.substr(std::min(middle + 1, word.size()));
        BOOST_OUTCOME_TRYV(settings.set(view.substr(0, middle), value));
    }
    return settings;
}

std::string to_text(std::vector<snapshot_id> const& snapshots)
{
    std::string text;
    for (auto const& each : snapshots)
    {
        text += text.empty() ? "" : ",";
        text += std::to_string(each.map) + "/" + std::to_string(each.index);
    }
    return text;
}

std::optional<snapshot_id> parse_snapshot(std::string_view text)
{
    std::vector<snapshot_id> read_ids;
    if (!read(text, read_ids) || read_ids.size() != 1)
    {
        return std::nullopt;
    }
    return read_ids.front();
}

} // namespace kumquatramp::standins
