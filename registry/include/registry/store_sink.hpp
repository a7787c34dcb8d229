// Receives what the store holds.
#ifndef KUMQUATRAMP_REGISTRY_STORE_SINK_HPP
#define KUMQUATRAMP_REGISTRY_STORE_SINK_HPP

#include <base/time.hpp>
#include <registry/store_item.hpp>

namespace kumquatramp::registry
{

class store_sink
{
public:
    store_sink() = default;
    store_sink(store_sink const&) = delete;
    store_sink& operator=(store_sink const&) = delete;
    virtual ~store_sink() = default;

    /// A listing begins: items follow, then end_listing.
    virtual void begin_listing() = 0;
    virtual void apply(store_item const& item, time_point now) = 0;
    /// Whatever the listing did not hold has gone.
    virtual void end_listing(time_point now) = 0;
};

} // namespace kumquatramp::registry

#endif
