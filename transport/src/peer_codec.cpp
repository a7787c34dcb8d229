// Encodes and decodes field by field; decoding checks every type and limit.
#include <charconv>
#include <json/value.h>
#include <transport/peer_codec.hpp>
#include <transport/peer_frame.hpp>

namespace kumquatramp
{

namespace
{

constexpr std::size_t max_name_bytes = 256;
constexpr std::size_t max_frame_items = 100'000;

std::string to_hex(std::uint64_t number)
{
    char buffer[17];
    auto const end =
        std::to_chars(buffer, buffer + sizeof buffer, number, 16).ptr;
    return {buffer, end};
}

/// Reads the members of one JSON object and tracks whether all were valid.
class object_reader
{
public:
    explicit object_reader(Json::Value const& value)
        : value_(value)
        , valid_(value.isObject())
    {
    }

    bool valid() const noexcept { return valid_; }

    bool has(char const* name) const { return valid_ && value_.isMember(name); }

    Json::Value const& member(char const* name)
    {
        static Json::Value const absent;
        return has(name) ? value_[name] : absent;
    }

    std::uint64_t number(char const* name)
    {
        auto const text = this->text(name, 16);
        std::uint64_t read = 0;
        auto const* const end = text.data() + text.size();
        auto const parsed = std::from_chars(text.data(), end, read, 16);
        valid_ = valid_ && parsed.ec == std::errc{} && parsed.ptr == end;
        return read;
    }

    std::uint32_t uint32_member(char const* name)
    {
        auto const& found = member(name);
        valid_ = valid_ && found.isUInt();
        return valid_ ? found.asUInt() : 0;
    }

    bool flag(char const* name)
    {
        auto const& found = member(name);
        valid_ = valid_ && found.isBool();
        return valid_ && found.asBool();
    }

    std::string text(char const* name, std::size_t max_size = max_name_bytes)
    {
        auto const& found = member(name);
        valid_ = valid_ && found.isString();
        auto read = valid_ ? found.asString() : std::string();
        valid_ = valid_ && read.size() <= max_size;
        return read;
    }

    /// An array of at most `max_size` elements; an empty array if the member is
    /// not one.
    Json::Value const& array(char const* name, std::size_t max_size)
    {
        static Json::Value const empty(Json::arrayValue);
        auto const& found = member(name);
        valid_ = valid_ && found.isArray() && found.size() <= max_size;
        return valid_ ? found : empty;
    }

    void require(bool holds) { valid_ = valid_ && holds; }

private:
    Json::Value const& value_;
    bool valid_;
};

std::optional<attempt_outcome> parse_outcome(std::string_view name)
{
    constexpr auto last = static_cast<int>(attempt_outcome::malformed);
    for (int i = 0; i <= last; ++i)
    {
        auto const outcome = static_cast<attempt_outcome>(i);
        if (to_string(outcome) == name)
        {
            return outcome;
        }
    }
    return std::nullopt;
}

Json::Value encode_heartbeat(heartbeat const& beat)
{
    Json::Value value;
    value["host"] = beat.host.value();
    value["life"] = to_hex(beat.life.value());
    value["count"] = to_hex(beat.count);
    value["leaving"] = beat.leaving;
    return value;
}

heartbeat decode_heartbeat(object_reader& outer, Json::Value const& value)
{
    object_reader reader(value);
    heartbeat beat;
    beat.host = host_name{reader.text("host")};
    beat.life = incarnation{reader.number("life")};
    beat.count = reader.number("count");
    beat.leaving = reader.flag("leaving");
    outer.require(reader.valid());
    return beat;
}

Json::Value encode_warmth(warmth_notice const& notice)
{
    Json::Value value;
    value["target"] = notice.target.value();
    value["epoch"] = notice.seen.epoch;
    value["warm"] = notice.seen.warm;
    return value;
}

warmth_notice decode_warmth(object_reader& outer, Json::Value const& value)
{
    object_reader reader(value);
    warmth_notice notice;
    notice.target = target_name{reader.text("target")};
    notice.seen.epoch = reader.uint32_member("epoch");
    notice.seen.warm = reader.flag("warm");
    outer.require(reader.valid());
    return notice;
}

keyed_stamp decode_keyed_stamp(object_reader& outer, Json::Value const& value)
{
    object_reader reader(value);
    auto const key = decode_key(reader.member("key"));
    auto const stamp = decode_stamp(value);
    outer.require(key && stamp);
    return {key.value_or(config_key::rules), stamp.value_or(config_stamp{})};
}

Json::Value encode_edit(line_edit const& edit)
{
    Json::Value value;
    value["first"] = edit.first;
    value["removed"] = edit.removed;
    value["added"] = Json::Value(Json::arrayValue);
    for (auto const& line : edit.added)
    {
        value["added"].append(line);
    }
    return value;
}

line_edit decode_edit(object_reader& outer, Json::Value const& value)
{
    object_reader reader(value);
    line_edit edit;
    edit.first = reader.uint32_member("first");
    edit.removed = reader.uint32_member("removed");
    for (auto const& line : reader.array("added", max_frame_items))
    {
        reader.require(line.isString());
        edit.added.push_back(line.isString() ? line.asString() : std::string());
    }
    outer.require(reader.valid());
    return edit;
}

} // namespace

Json::Value encode_digest(peer_digest const& digest)
{
    Json::Value value;
    value["from"] = digest.from.value();
    value["life"] = to_hex(digest.life.value());
    value["leaving"] = digest.leaving;
    value["booted"] = digest.booted;
    value["stamps"] = Json::Value(Json::arrayValue);
    for (auto const& stamp : digest.stamps)
    {
        auto encoded = encode_stamp(stamp.stamp);
        encoded["key"] = std::string(to_string(stamp.key));
        value["stamps"].append(encoded);
    }
    if (digest.view_age != duration::max())
    {
        value["view_age"] =
            to_hex(static_cast<std::uint64_t>(digest.view_age.count()));
    }
    value["heartbeats"] = Json::Value(Json::arrayValue);
    for (auto const& beat : digest.heartbeats)
    {
        value["heartbeats"].append(encode_heartbeat(beat));
    }
    value["warmths"] = Json::Value(Json::arrayValue);
    for (auto const& notice : digest.warmths)
    {
        value["warmths"].append(encode_warmth(notice));
    }
    return value;
}

std::optional<peer_digest> decode_digest(Json::Value const& value)
{
    object_reader reader(value);
    peer_digest digest;
    digest.from = host_name{reader.text("from")};
    digest.life = incarnation{reader.number("life")};
    digest.leaving = reader.flag("leaving");
    digest.booted = reader.flag("booted");
    for (auto const& stamp : reader.array("stamps", all_config_keys.size()))
    {
        digest.stamps.push_back(decode_keyed_stamp(reader, stamp));
    }
    if (reader.has("view_age"))
    {
        auto const age = reader.number("view_age");
        reader.require(age <=
                       static_cast<std::uint64_t>(duration::max().count()));
        digest.view_age = duration(static_cast<duration::rep>(age));
    }
    for (auto const& beat : reader.array("heartbeats", max_heartbeats))
    {
        digest.heartbeats.push_back(decode_heartbeat(reader, beat));
    }
    for (auto const& notice : reader.array("warmths", max_warmth_notices))
    {
        digest.warmths.push_back(decode_warmth(reader, notice));
    }
    return reader.valid() ? std::optional(std::move(digest)) : std::nullopt;
}

Json::Value encode_stamp(config_stamp const& stamp)
{
    Json::Value value;
    value["version"] = to_hex(stamp.version.value());
    value["hash"] = to_hex(stamp.hash);
    return value;
}

std::optional<config_stamp> decode_stamp(Json::Value const& value)
{
    object_reader reader(value);
    config_stamp stamp;
    stamp.version = config_version{reader.number("version")};
    stamp.hash = reader.number("hash");
    return reader.valid() ? std::optional(stamp) : std::nullopt;
}

Json::Value encode_update(config_update const& update)
{
    Json::Value value;
    value["key"] = std::string(to_string(update.key));
    value["stamp"] = encode_stamp(update.stamp);
    if (!update.base)
    {
        value["text"] = update.text;
        return value;
    }
    value["base"] = encode_stamp(*update.base);
    value["edits"] = Json::Value(Json::arrayValue);
    for (auto const& edit : update.edits)
    {
        value["edits"].append(encode_edit(edit));
    }
    return value;
}

std::optional<config_update> decode_update(Json::Value const& value)
{
    object_reader reader(value);
    auto const key = decode_key(reader.member("key"));
    auto const stamp = decode_stamp(reader.member("stamp"));
    if (!key || !stamp)
    {
        return std::nullopt;
    }
    config_update update;
    update.key = *key;
    update.stamp = *stamp;
    if (!reader.has("base"))
    {
        update.text = reader.text("text", max_frame_bytes);
        return reader.valid() ? std::optional(std::move(update)) : std::nullopt;
    }
    update.base = decode_stamp(reader.member("base"));
    reader.require(update.base.has_value());
    for (auto const& edit : reader.array("edits", max_frame_items))
    {
        update.edits.push_back(decode_edit(reader, edit));
    }
    return reader.valid() ? std::optional(std::move(update)) : std::nullopt;
}

Json::Value encode_grant(grant_answer const& answer)
{
    Json::Value value;
    value["grant"] = to_hex(answer.grant);
    value["epoch"] = answer.seen.epoch;
    value["warm"] = answer.seen.warm;
    return value;
}

std::optional<grant_answer> decode_grant(Json::Value const& value)
{
    object_reader reader(value);
    grant_answer answer;
    answer.grant = reader.number("grant");
    answer.seen.epoch = reader.uint32_member("epoch");
    answer.seen.warm = reader.flag("warm");
    return reader.valid() ? std::optional(answer) : std::nullopt;
}

Json::Value encode_report(grant_report const& report)
{
    Json::Value value;
    value["target"] = report.target.value();
    value["grant"] = to_hex(report.grant);
    value["outcome"] = std::string(to_string(report.outcome));
    value["latency"] =
        to_hex(static_cast<std::uint64_t>(report.latency.count()));
    return value;
}

std::optional<grant_report> decode_report(Json::Value const& value)
{
    object_reader reader(value);
    grant_report report;
    report.target = target_name{reader.text("target")};
    report.grant = reader.number("grant");
    auto const latency = reader.number("latency");
    reader.require(latency <=
                   static_cast<std::uint64_t>(duration::max().count()));
    report.latency = duration(static_cast<duration::rep>(latency));
    auto const outcome = parse_outcome(reader.text("outcome"));
    reader.require(outcome.has_value());
    report.outcome = outcome.value_or(attempt_outcome::failed);
    return reader.valid() ? std::optional(report) : std::nullopt;
}

std::optional<target_name> decode_target(Json::Value const& value)
{
    bool const valid =
        value.isString() && value.asString().size() <= max_name_bytes;
    return valid ? std::optional(target_name{value.asString()}) : std::nullopt;
}

std::optional<config_key> decode_key(Json::Value const& value)
{
    return value.isString() ? parse_config_key(value.asString()) : std::nullopt;
}

} // namespace kumquatramp
