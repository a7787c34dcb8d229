// Runs rapidjson's event reader over the text in place: on the path of a query
// a tree of values would cost more than all else.
#include <rapidjson/error/error.h>
#include <rapidjson/memorystream.h>
#include <rapidjson/reader.h>
#include <transport/json_scan.hpp>

namespace kumquatramp
{

namespace
{

constexpr int max_depth = 64;

constexpr unsigned reader_flags =
    rapidjson::kParseIterativeFlag | rapidjson::kParseValidateEncodingFlag;

/// Follows the nesting, and notes where the array of interest stands.
class array_finder
    : public rapidjson::BaseReaderHandler<rapidjson::UTF8<>, array_finder>
{
public:
    array_finder(rapidjson::MemoryStream const& stream, std::string_view name)
        : stream_(stream)
        , name_(name)
    {
    }

    bool Default()
    {
        wanted_ = false;
        return true;
    }

    bool StartObject() { return enter(); }
    bool EndObject(rapidjson::SizeType) { return leave(); }

    bool StartArray()
    {
        if (wanted_)
        {
            inside_ = true;
            begin_ = stream_.Tell() + 1; // the bracket is not taken yet
        }
        return enter();
    }

    bool EndArray(rapidjson::SizeType)
    {
        if (inside_ && depth_ == 2)
        {
            inside_ = false;
            end_ = stream_.Tell();
            ++found_;
        }
        return leave();
    }

    bool Key(char const* text, rapidjson::SizeType length, bool)
    {
        bool const named =
            depth_ == 1 && std::string_view(text, length) == name_;
        named_ += named ? 1 : 0;
        wanted_ = named;
        return true;
    }

    /// Where the array's inner text begins and ends.
    std::optional<std::pair<std::size_t, std::size_t>> found() const
    {
        return found_ == 1 && named_ == 1
                   ? std::optional(std::pair(begin_, end_))
                   : std::nullopt;
    }

private:
    bool enter()
    {
        wanted_ = false;
        return ++depth_ <= max_depth;
    }

    bool leave()
    {
        --depth_;
        return true;
    }

    rapidjson::MemoryStream const& stream_;
    std::string_view name_;
    int depth_ = 0;
    int found_ = 0;       ///< arrays under the name, in the outermost object
    int named_ = 0;       ///< members of the name there
    bool wanted_ = false; ///< the next value stands under the name
    bool inside_ = false;
    std::size_t begin_ = 0;
    std::size_t end_ = 0;
};

/// Reads the whole text; false if it is not one JSON value.
bool scan(rapidjson::MemoryStream& stream, array_finder& finder)
{
    // The reader's stack keeps its memory from one text to the next.
    thread_local rapidjson::Reader reader;
    return !reader.Parse<reader_flags>(stream, finder).IsError();
}

} // namespace

bool is_json(std::string_view text)
{
    rapidjson::MemoryStream stream(text.data(), text.size());
    array_finder finder(stream, {});
    return scan(stream, finder);
}

std::optional<std::string_view> find_array(std::string_view text,
                                           std::string_view name)
{
    rapidjson::MemoryStream stream(text.data(), text.size());
    array_finder finder(stream, name);
    if (!scan(stream, finder))
    {
        return std::nullopt;
    }
    auto const found = finder.found();
    return found ? std::optional(
                       text.substr(found->first, found->second - found->first))
                 : std::nullopt;
}

} // namespace kumquatramp
