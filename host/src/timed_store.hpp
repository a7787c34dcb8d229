// Measures the calls to the platform's store.
#ifndef KUMQUATRAMP_HOST_TIMED_STORE_HPP
#define KUMQUATRAMP_HOST_TIMED_STORE_HPP

#include <base/clock.hpp>
#include <host/service_counters.hpp>
#include <memory>
#include <registry/store_port.hpp>

namespace kumquatramp::host
{

/// Passes calls on. Watches wait for a change by design, so that only
/// listings tell how fast the store is.
class timed_store final : public registry::store_port
{
public:
    timed_store(std::unique_ptr<registry::store_port> store, clock const& time);

    void list(std::string const& after) override;
    void watch(std::uint64_t revision, duration wait) override;
    void cancel() override;

    /// The open call has ended, in whatever way.
    void ended();

    latency_histogram const& listings() const { return listings_; }

private:
    std::unique_ptr<registry::store_port> store_;
    clock const& time_;
    time_point listing_since_ = never; ///< never: no listing is open
    latency_histogram listings_;
};

} // namespace kumquatramp::host

#endif
