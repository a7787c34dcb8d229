// Interface that receives the items of the store.
#ifndef KUMQUATRAMP_REGISTRY_STORE_SINK_HPP
#define KUMQUATRAMP_REGISTRY_STORE_SINK_HPP

#include <base/time.hpp>
#include <registry/store_item.hpp>

namespace kumquatramp::registry
{

/// How far a listing can be relied on.
enum class listing_kind
{
    complete, ///< holds all items that exist
    /// Of a store that was restored from a copy a short time ago: recent
    /// changes may be missing until they have been written again.
    restored,
};

class store_sink
{
public:
    store_sink() = default;
    store_sink(store_sink const&) = delete;
    store_sink& operator=(store_sink const&) = delete;
    virtual ~store_sink() = default;

    /// Starts a listing: its items follow, then end_listing. An interrupted
    /// listing is started again without end_listing.
    virtual void begin_listing(listing_kind kind) = 0;
    /// Applies an item of a listing or a change.
    virtual void apply(store_item const& item, time_point now) = 0;
    /// Ends a listing. If it was complete, items that it did not contain no
    /// longer exist.
    virtual void end_listing(time_point now) = 0;
    /// All that the store held when it answered has been applied.
    virtual void on_current(time_point now) = 0;
};

} // namespace kumquatramp::registry

#endif
