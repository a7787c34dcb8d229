// JSON parsing and serialization with jsoncpp.
#include <json/reader.h>
#include <json/writer.h>
#include <memory>
#include <transport/json_text.hpp>

namespace kumquatramp
{

namespace
{

constexpr int max_depth = 64;

Json::CharReaderBuilder reader_settings()
{
    Json::CharReaderBuilder builder;
    Json::CharReaderBuilder::strictMode(&builder.settings_);
    builder["strictRoot"] = false;
    builder["stackLimit"] = max_depth;
    return builder;
}

} // namespace

std::optional<Json::Value> parse_json(std::string_view text)
{
    // Reused, since building a reader costs more than parsing a small text.
    thread_local std::unique_ptr<Json::CharReader> const reader(
        reader_settings().newCharReader());
    Json::Value value;
    try
    {
        auto const* const end = text.data() + text.size();
        if (!reader->parse(text.data(), end, &value, nullptr))
        {
            return std::nullopt;
        }
    }
    catch (std::exception const&) // the reader throws beyond its depth limit
    {
        return std::nullopt;
    }
    return value;
}

std::string to_json_text(Json::Value const& value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

std::string quote_json(std::string_view text)
{
    return Json::valueToQuotedString(std::string(text).c_str());
}

} // namespace kumquatramp
