// Measures the latency of listings of the platform's store.
#ifndef KUMQUATRAMP_HOST_TIMED_STORE_HPP
#define KUMQUATRAMP_HOST_TIMED_STORE_HPP

#include <base/clock.hpp>
#include <host/service_counters.hpp>
#include <memory>
#include <registry/store_port.hpp>

namespace kumquatramp::host
{

/// Forwards calls to `store`. Only listings are timed: a watch waits for a
/// change by design, so its duration says nothing about the speed of the store.
class timed_store final : public registry::store_port
{
public:
    timed_store(std::unique_ptr<registry::store_port> store, clock const& time);

    void list(std::string const& after) override;
    void watch(std::uint64_t revision, duration wait) override;
    void cancel() override;

    /// To be called when the open call has ended, successfully or not.
    void on_call_ended();

    latency_histogram const& listing_latency() const
    {
        return listing_latency_;
    }

private:
    std::unique_ptr<registry::store_port> store_;
    clock const& time_;
    time_point listing_started_ = never; ///< never: no open listing
    latency_histogram listing_latency_;
};

} // namespace kumquatramp::host

#endif
