// Parses the service and target lines of the catalogue.
#include <algorithm>
#include <details/catalogue_reader.hpp>
#include <details/entry_fields.hpp>
#include <rules/details/word_values.hpp>
#include <string>
#include <utility>

namespace kumquatramp::details
{

namespace
{

constexpr std::uint64_t max_shards = 100'000;
constexpr std::uint64_t max_slots = 100'000;
constexpr std::uint64_t max_connections = 1'000'000;

// A service line has the words "service NAME run MODE", followed by 4 words for
// each shard map.
constexpr std::size_t service_head_words = 4;
constexpr std::size_t map_words = 4;

std::optional<shard_ref> parse_shard_ref(std::string_view text)
{
    auto const slash = text.find('/');
    if (slash == std::string_view::npos)
    {
        return std::nullopt;
    }
    auto const map = parse_count(text.substr(0, slash));
    auto const shard = parse_count(text.substr(slash + 1));
    if (!map || !shard || *shard >= max_shards)
    {
        return std::nullopt;
    }
    return shard_ref{*map, shard_index{static_cast<std::uint32_t>(*shard)}};
}

std::string duplicate_name_reason(std::string_view name, std::uint32_t line)
{
    return quote_word(name) + " is named on line " + std::to_string(line) +
           " already";
}

} // namespace

catalogue_reader::catalogue_reader(fault_list& faults)
    : faults_(faults)
{
}

void catalogue_reader::read(config_line const& line)
{
    if (line.words[0] == "service")
    {
        read_service(line);
    }
    else if (line.words[0] == "target")
    {
        read_target(line);
    }
    else
    {
        faults_.add(line.number, "unknown word " + quote_word(line.words[0]) +
                                     "; a line starts with 'service' or "
                                     "'target'");
    }
}

void catalogue_reader::read_service(config_line const& line)
{
    auto const& words = line.words;
    bool const complete = words.size() >= service_head_words + map_words &&
                          (words.size() - service_head_words) % map_words == 0;
    bool const valid = complete && is_name(words[1]) && words[2] == "run" &&
                       (words[3] == "idempotent" || words[3] == "once");
    if (!valid)
    {
        faults_.add(line.number,
                    "a service reads: service NAME run idempotent|once "
                    "shards N map VERSION [shards N map VERSION ...]");
        return;
    }
    service_entry service;
    service.name = service_name{std::string(words[1])};
    service.idempotent = words[3] == "idempotent";
    for (auto i = service_head_words; i < words.size(); i += map_words)
    {
        read_map(line, i, service);
    }
    auto const [entry, inserted] =
        service_lines_.emplace(service.name, line.number);
    if (!inserted)
    {
        faults_.add(line.number,
                    duplicate_name_reason(words[1], entry->second));
        return;
    }
    service_positions_.emplace(service.name, result_.services.size());
    result_.services.push_back(std::move(service));
}

void catalogue_reader::read_map(config_line const& line, std::size_t word,
                                service_entry& service)
{
    auto const& words = line.words;
    if (words[word] != "shards" || words[word + 2] != "map")
    {
        faults_.add(line.number, "unknown word " + quote_word(words[word]) +
                                     "; a map reads: shards N map VERSION");
        return;
    }
    auto const shards = parse_count(words[word + 1]);
    auto const version = parse_count(words[word + 3]);
    if (!shards || *shards == 0 || *shards > max_shards)
    {
        faults_.add(line.number, quote_word(words[word + 1]) +
                                     " after 'shards' is not a whole number "
                                     "from 1 to " +
                                     std::to_string(max_shards));
        return;
    }
    if (!version || *version == 0)
    {
        faults_.add(line.number, quote_word(words[word + 3]) +
                                     " after 'map' is not a whole number "
                                     "above 0");
        return;
    }
    if (!service.maps.empty() && service.maps.back().version >= *version)
    {
        faults_.add(line.number, quote_word(words[word + 3]) +
                                     " after 'map' is not above the version "
                                     "before it");
        return;
    }
    service.maps.push_back({*version, static_cast<std::uint32_t>(*shards)});
}

void catalogue_reader::read_target(config_line const& line)
{
    entry_fields fields(line, faults_);
    fields.check_keys({"service", "availability_zone", "address", "slots",
                       "connections", "connect_cost", "state", "holds"});
    target_entry target;
    target.name = target_name{fields.entry_name()};
    target.service = service_name{fields.name("service")};
    target.zone = zone_name{fields.name("availability_zone")};
    target.address = fields.address("address");
    target.slots =
        static_cast<std::uint32_t>(fields.count("slots", 1, max_slots));
    target.connections = static_cast<std::uint32_t>(
        fields.count("connections", 1, max_connections));
    target.connect_cost = fields.time("connect_cost", 1ms);
    target.leaving = fields.flag("state", "leaving", "live");
    read_held_shards(fields, target);
    auto const [entry, inserted] =
        target_name_lines_.emplace(target.name, line.number);
    if (!inserted)
    {
        fields.fault(duplicate_name_reason(target.name.value(), entry->second));
    }
    result_.targets.push_back(std::move(target));
    target_lines_.push_back(line.number);
}

void catalogue_reader::read_held_shards(entry_fields& fields,
                                        target_entry& target)
{
    auto list = fields.required("holds");
    while (!list.empty())
    {
        auto const comma = list.find(',');
        auto const word = list.substr(0, comma);
        auto const held_shard = parse_shard_ref(word);
        auto& held_shards = target.held_shards;
        if (!held_shard)
        {
            fields.fault(quote_word(word) + " after 'holds' is not MAP/SHARD");
            return;
        }
        if (std::find(held_shards.begin(), held_shards.end(), *held_shard) !=
            held_shards.end())
        {
            fields.fault(quote_word(word) + " after 'holds' is given twice");
        }
        held_shards.push_back(*held_shard);
        list.remove_prefix(comma == std::string_view::npos ? list.size()
                                                           : comma + 1);
    }
}

void catalogue_reader::check_target(target_entry const& target,
                                    std::uint32_t line)
{
    auto const found = service_positions_.find(target.service);
    if (found == service_positions_.end())
    {
        faults_.add(line, quote_word(target.service.value()) +
                              " is not a service of this catalogue");
        return;
    }
    auto const& maps = result_.services[found->second].maps;
    for (auto const& held_shard : target.held_shards)
    {
        auto const same = [&held_shard](shard_map const& map)
        { return map.version == held_shard.map; };
        auto const map = std::find_if(maps.begin(), maps.end(), same);
        if (map == maps.end() || held_shard.shard.value() >= map->shards)
        {
            faults_.add(line, "'" + std::to_string(held_shard.map) + "/" +
                                  std::to_string(held_shard.shard.value()) +
                                  "' after 'holds' is in no shard map of " +
                                  quote_word(target.service.value()));
        }
    }
}

catalogue catalogue_reader::finish()
{
    for (std::size_t i = 0; i < result_.targets.size(); ++i)
    {
        check_target(result_.targets[i], target_lines_[i]);
    }
    return std::move(result_);
}

} // namespace kumquatramp::details
