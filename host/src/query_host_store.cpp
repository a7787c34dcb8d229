// Applies the contents of the platform's store to targets, catalogue and fleet.
#include "query_host_details.hpp"

namespace kumquatramp::host
{

void query_host::details::begin_listing(registry::listing_kind kind)
{
    listing_ = kind;
    listed_targets_.clear();
    listed_evacuations_.clear();
}

void query_host::details::apply(registry::store_item const& item,
                                time_point now)
{
    bool const from_copy = listing_ == registry::listing_kind::restored;
    store_change change = adapter_.decode(item);
    if (auto* unusable = std::get_if<unusable_entry>(&change))
    {
        log_.note("store.unusable_entry", item.key, unusable->reason);
    }
    else if (auto* invalid = std::get_if<unusable_configuration>(&change))
    {
        refuse_configuration("unknown", invalid->reason);
    }
    else if (auto* data = std::get_if<serving::catalogue_data>(&change))
    {
        apply_catalogue(std::move(*data));
    }
    else if (auto* record = std::get_if<serving::target_record>(&change))
    {
        listed_targets_.insert(record->id);
        if (from_copy)
        {
            targets_.put_restored(std::move(*record), now);
        }
        else
        {
            targets_.put(std::move(*record), now);
        }
    }
    else if (auto* gone = std::get_if<target_removed>(&change))
    {
        listed_targets_.erase(gone->id);
        targets_.remove(gone->id, now);
    }
    else if (auto* evacuated = std::get_if<zone_evacuated>(&change))
    {
        listed_evacuations_.insert(evacuated->zone);
        if (from_copy)
        {
            targets_.evacuate_restored(evacuated->zone, now);
        }
        else
        {
            targets_.evacuate(evacuated->zone, now);
        }
    }
    else if (auto* restored = std::get_if<zone_restored>(&change))
    {
        listed_evacuations_.erase(restored->zone);
        targets_.end_evacuation(restored->zone, now);
    }
}

void query_host::details::end_listing(time_point now)
{
    if (listing_ == registry::listing_kind::complete)
    {
        targets_.retain(listed_targets_, now);
        targets_.set_evacuated(listed_evacuations_, now);
    }
    listing_.reset();
    fleet_.set_ready(ready());
}

void query_host::details::apply_catalogue(serving::catalogue_data data)
{
    auto const catalogue =
        std::make_shared<serving::route_catalogue const>(std::move(data));
    std::string const version = std::to_string(catalogue->version());
    auto const* const active = front_.engine().catalogue();
    if (active != nullptr && catalogue->same_as(*active))
    {
        configuration_refused_ = false;
    }
    else if (front_.engine().set_catalogue(catalogue))
    {
        configuration_refused_ = false;
        front_.server().set_limits(catalogue->limits());
        log_.note("configuration.accepted", version, "now in effect");
        if (int const unusable = catalogue->unusable_routes(); unusable > 0)
        {
            log_.note("configuration.unusable_routes", version,
                      std::to_string(unusable) +
                          " routes cannot be read; their requests are refused");
        }
        fleet_.set_ready(ready());
    }
    else
    {
        bool const same_version =
            active != nullptr && active->version() == catalogue->version();
        refuse_configuration(
            version, same_version
                         ? "other contents under the version in force"
                         : "older than a version that was active before");
    }
}

void query_host::details::refuse_configuration(std::string_view version,
                                               std::string_view reason)
{
    configuration_refused_ = true;
    ++refused_configurations_;
    log_.note("configuration.refused", version, reason);
}

void query_host::details::on_current(time_point now)
{
    if (!configuration_refused_)
    {
        front_.engine().confirm_catalogue(now);
    }
}

} // namespace kumquatramp::host
