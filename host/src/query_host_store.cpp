// Takes in what the platform's store holds.
#include "query_host_details.hpp"

namespace kumquatramp::host
{

void query_host::details::begin_listing()
{
    listed_.clear();
    listed_zones_.clear();
}

void query_host::details::apply(registry::store_item const& item,
                                time_point now)
{
    store_change change = adapter_.decode(item);
    if (auto* unusable = std::get_if<unusable_entry>(&change))
    {
        log_.note("store.unusable_entry", item.key, unusable->why);
    }
    else if (auto* data = std::get_if<serving::catalogue_data>(&change))
    {
        take(std::move(*data));
    }
    else if (auto* record = std::get_if<serving::target_record>(&change))
    {
        listed_.insert(record->id);
        book_.put(std::move(*record), now);
    }
    else if (auto* gone = std::get_if<target_removed>(&change))
    {
        listed_.erase(gone->id);
        book_.remove(gone->id, now);
    }
    else if (auto* evacuated = std::get_if<zone_evacuated>(&change))
    {
        listed_zones_.insert(evacuated->zone);
        book_.evacuate(evacuated->zone, now);
    }
    else if (auto* restored = std::get_if<zone_restored>(&change))
    {
        listed_zones_.erase(restored->zone);
        book_.end_evacuation(restored->zone, now);
    }
}

void query_host::details::end_listing(time_point now)
{
    book_.retain(listed_, now);
    book_.set_evacuated(listed_zones_, now);
    fleet_.set_ready(ready());
}

void query_host::details::take(serving::catalogue_data data)
{
    auto const catalogue =
        std::make_shared<serving::route_catalogue const>(std::move(data));
    std::string const version = std::to_string(catalogue->version());
    if (front_.engine().set_catalogue(catalogue))
    {
        front_.server().set_limits(catalogue->limits());
        log_.note("configuration.accepted", version, "in force from now on");
        fleet_.set_ready(ready());
    }
    else if (catalogue->version() < front_.engine().catalogue()->version())
    {
        log_.note("configuration.refused", version,
                  "older than the version in force");
    }
}

} // namespace kumquatramp::host
