// Times listings from the call to on_call_ended().
#include "timed_store.hpp"
#include <utility>

namespace kumquatramp::host
{

timed_store::timed_store(std::unique_ptr<registry::store_port> store,
                         clock const& time)
    : store_(std::move(store))
    , time_(time)
{
}

void timed_store::list(std::string const& after)
{
    listing_started_ = time_.now();
    store_->list(after);
}

void timed_store::watch(std::uint64_t revision, duration wait)
{
    listing_started_ = never;
    store_->watch(revision, wait);
}

void timed_store::cancel()
{
    listing_started_ = never;
    store_->cancel();
}

void timed_store::on_call_ended()
{
    if (listing_started_ != never)
    {
        listing_latency_.add(time_.now() -
                             std::exchange(listing_started_, never));
    }
}

} // namespace kumquatramp::host
