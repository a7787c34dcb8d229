// Matches unique lines as in patience diff.
#include <algorithm>
#include <details/line_matcher.hpp>
#include <unordered_map>

namespace kumquatramp::details
{

namespace
{

constexpr auto none = static_cast<std::size_t>(-1);

struct occurrences
{
    std::size_t old_count = 0;
    std::size_t new_count = 0;
    std::size_t old_line = 0;
};

// Matches, ordered by their line in the new text.
std::vector<line_match>
unique_matches(std::span<std::string_view const> old_lines,
               std::span<std::string_view const> new_lines)
{
    std::unordered_map<std::string_view, occurrences> seen;
    seen.reserve(old_lines.size());
    for (std::size_t i = 0; i < old_lines.size(); ++i)
    {
        auto& entry = seen[old_lines[i]];
        ++entry.old_count;
        entry.old_line = i;
    }
    for (auto const line : new_lines)
    {
        auto const found = seen.find(line);
        if (found != seen.end())
        {
            ++found->second.new_count;
        }
    }
    std::vector<line_match> matches;
    for (std::size_t i = 0; i < new_lines.size(); ++i)
    {
        auto const found = seen.find(new_lines[i]);
        if (found != seen.end() && found->second.old_count == 1 &&
            found->second.new_count == 1)
        {
            matches.push_back({found->second.old_line, i});
        }
    }
    return matches;
}

// The longest subsequence with increasing old lines, by patience sorting.
std::vector<line_match>
longest_increasing(std::vector<line_match> const& matches)
{
    // For each length, the last match of the subsequence of that length that
    // ends on the lowest old line.
    std::vector<std::size_t> piles;
    std::vector<std::size_t> predecessor(matches.size(), none);
    for (std::size_t i = 0; i < matches.size(); ++i)
    {
        auto const lower = [&matches](std::size_t m, std::size_t line)
        { return matches[m].old_line < line; };
        auto const pile = std::lower_bound(piles.begin(), piles.end(),
                                           matches[i].old_line, lower);
        predecessor[i] = pile == piles.begin() ? none : *(pile - 1);
        if (pile == piles.end())
        {
            piles.push_back(i);
        }
        else
        {
            *pile = i;
        }
    }
    std::vector<line_match> run;
    for (auto i = piles.empty() ? none : piles.back(); i != none;
         i = predecessor[i])
    {
        run.push_back(matches[i]);
    }
    std::reverse(run.begin(), run.end());
    return run;
}

} // namespace

std::vector<line_match>
match_unique_lines(std::span<std::string_view const> old_lines,
                   std::span<std::string_view const> new_lines)
{
    return longest_increasing(unique_matches(old_lines, new_lines));
}

} // namespace kumquatramp::details
