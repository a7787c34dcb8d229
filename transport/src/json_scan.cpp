// Parses in place with rapidjson's SAX reader: on the query path, building a
// document tree would cost more than all other work together.
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

/// Tracks the nesting depth and records the position of the requested array.
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
        expects_array_ = false;
        return true;
    }

    bool StartObject() { return enter(); }
    bool EndObject(rapidjson::SizeType) { return leave(); }

    bool StartArray()
    {
        if (expects_array_)
        {
            in_array_ = true;
            begin_ = stream_.Tell() + 1; // the bracket is not consumed yet
        }
        return enter();
    }

    bool EndArray(rapidjson::SizeType)
    {
        if (in_array_ && depth_ == 2)
        {
            in_array_ = false;
            end_ = stream_.Tell();
            ++array_count_;
        }
        return leave();
    }

    bool Key(char const* text, rapidjson::SizeType length, bool)
    {
        bool const named =
            depth_ == 1 && std::string_view(text, length) == name_;
        key_count_ += named ? 1 : 0;
        expects_array_ = named;
        return true;
    }

    /// Begin and end offsets of the text between the array's brackets.
    std::optional<std::pair<std::size_t, std::size_t>> found() const
    {
        return array_count_ == 1 && key_count_ == 1
                   ? std::optional(std::pair(begin_, end_))
                   : std::nullopt;
    }

private:
    bool enter()
    {
        expects_array_ = false;
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
    int array_count_ = 0; ///< arrays under the key in the top-level object
    int key_count_ = 0;   ///< occurrences of the key there
    bool expects_array_ = false; ///< the next value belongs to the key
    bool in_array_ = false;
    std::size_t begin_ = 0;
    std::size_t end_ = 0;
};

/// Parses the whole text; false if it is not exactly one JSON value.
bool scan(rapidjson::MemoryStream& stream, array_finder& finder)
{
    // Reused, since the reader's stack keeps its memory between texts.
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
