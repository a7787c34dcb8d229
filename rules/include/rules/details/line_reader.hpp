// Splits a configuration text into lines, each with its words and an optional
// trailing comment.
#ifndef KUMQUATRAMP_RULES_DETAILS_LINE_READER_HPP
#define KUMQUATRAMP_RULES_DETAILS_LINE_READER_HPP

#include <cstdint>
#include <string_view>
#include <vector>

namespace kumquatramp::details
{

/// One line; the views point into the text given to the reader.
struct config_line
{
    std::uint32_t number = 0; ///< counted from 1
    std::vector<std::string_view> words;
    std::string_view comment; ///< after "#", trimmed
    std::string_view raw;     ///< without the newline

    bool has_words() const noexcept { return !words.empty(); }
};

/// Reads a text line by line. Words are separated by blanks: spaces, tabs and
/// carriage returns.
class line_reader
{
public:
    /// Keeps a view: the text must outlive the reader.
    explicit line_reader(std::string_view text) noexcept;

    /// Stores the next line in `line`; returns false at the end of the text.
    bool next(config_line& line);

private:
    std::string_view rest_;
    std::uint32_t number_ = 0;
};

/// Whether the line contains a control character that is not a blank.
bool has_control_characters(std::string_view line) noexcept;

} // namespace kumquatramp::details

#endif
