// Computes and applies line-based deltas.
#include <algorithm>
#include <config/line_delta.hpp>
#include <details/line_matcher.hpp>
#include <details/text_lines.hpp>
#include <span>

namespace kumquatramp
{

namespace
{

using line_span = std::span<std::string_view const>;

std::size_t common_prefix(line_span a, line_span b)
{
    auto const ends = std::mismatch(a.begin(), a.end(), b.begin(), b.end());
    return static_cast<std::size_t>(ends.first - a.begin());
}

std::size_t common_suffix(line_span a, line_span b)
{
    auto const ends = std::mismatch(a.rbegin(), a.rend(), b.rbegin(), b.rend());
    return static_cast<std::size_t>(ends.first - a.rbegin());
}

// Adds an edit that replaces old_lines with new_lines, without their common
// prefix and suffix. `first` is the index of old_lines in the old text.
void add_edit(line_span old_lines, line_span new_lines, std::size_t first,
              std::vector<line_edit>& edits)
{
    auto const prefix = common_prefix(old_lines, new_lines);
    old_lines = old_lines.subspan(prefix);
    new_lines = new_lines.subspan(prefix);
    auto const suffix = common_suffix(old_lines, new_lines);
    old_lines = old_lines.first(old_lines.size() - suffix);
    new_lines = new_lines.first(new_lines.size() - suffix);
    if (old_lines.empty() && new_lines.empty())
    {
        return;
    }
    line_edit edit;
    edit.first = static_cast<std::uint32_t>(first + prefix);
    edit.removed = static_cast<std::uint32_t>(old_lines.size());
    edit.added.assign(new_lines.begin(), new_lines.end());
    edits.push_back(std::move(edit));
}

bool is_one_line(std::string const& text)
{
    return text.find('\n') == std::string::npos;
}

// Whether the edit starts at or after `line`, ends within the text, and adds no
// line that contains a newline.
bool fits(line_edit const& edit, std::size_t line, std::size_t line_count)
{
    return edit.first >= line && edit.first <= line_count &&
           edit.removed <= line_count - edit.first &&
           std::all_of(edit.added.begin(), edit.added.end(), is_one_line);
}

void append_line(std::string& text, std::string_view line, bool& first)
{
    if (!first)
    {
        text.push_back('\n');
    }
    first = false;
    text.append(line);
}

} // namespace

std::vector<line_edit> make_line_delta(std::string_view old_text,
                                       std::string_view new_text)
{
    auto const old_lines = details::split_lines(old_text);
    auto const new_lines = details::split_lines(new_text);
    line_span old_rest(old_lines);
    line_span new_rest(new_lines);
    auto const prefix = common_prefix(old_rest, new_rest);
    old_rest = old_rest.subspan(prefix);
    new_rest = new_rest.subspan(prefix);
    auto const suffix = common_suffix(old_rest, new_rest);
    old_rest = old_rest.first(old_rest.size() - suffix);
    new_rest = new_rest.first(new_rest.size() - suffix);

    std::vector<line_edit> edits;
    std::size_t old_done = 0;
    std::size_t new_done = 0;
    for (auto const& match : details::match_unique_lines(old_rest, new_rest))
    {
        add_edit(old_rest.subspan(old_done, match.old_line - old_done),
                 new_rest.subspan(new_done, match.new_line - new_done),
                 prefix + old_done, edits);
        old_done = match.old_line + 1;
        new_done = match.new_line + 1;
    }
    add_edit(old_rest.subspan(old_done), new_rest.subspan(new_done),
             prefix + old_done, edits);
    return edits;
}

result<std::string> apply_line_delta(std::string_view old_text,
                                     std::vector<line_edit> const& edits)
{
    auto const lines = details::split_lines(old_text);
    std::string text;
    text.reserve(old_text.size());
    bool first = true;
    std::size_t done = 0;
    for (auto const& edit : edits)
    {
        if (!fits(edit, done, lines.size()))
        {
            return failure(
                error_kind::invalid_configuration,
                "the delta does not apply to the held text at line " +
                    std::to_string(edit.first + 1ULL));
        }
        for (; done < edit.first; ++done)
        {
            append_line(text, lines[done], first);
        }
        for (auto const& line : edit.added)
        {
            append_line(text, line, first);
        }
        done += edit.removed;
    }
    for (; done < lines.size(); ++done)
    {
        append_line(text, lines[done], first);
    }
    return text;
}

} // namespace kumquatramp
