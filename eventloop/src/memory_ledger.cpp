// Limits and watermarks of the ledger.
#include <eventloop/memory_ledger.hpp>
#include <utility>

namespace kumquatramp::eventloop
{

namespace
{

/// Shares of the capacity: large bodies may use this much,
constexpr double large_share = 0.75;
/// above this the ledger is short,
constexpr double short_share = 0.7;
/// and down to this is given up then.
constexpr double relieved_share = 0.6;

std::size_t part(std::size_t capacity, double share)
{
    return capacity == memory_ledger::unlimited
               ? capacity
               : static_cast<std::size_t>(static_cast<double>(capacity) *
                                          share);
}

} // namespace

bool memory_ledger::has_room(std::size_t bytes, memory_use use) const
{
    std::size_t const limit =
        use == memory_use::large ? part(capacity_, large_share) : capacity_;
    return used_ <= limit && bytes <= limit - used_;
}

bool memory_ledger::is_short() const
{
    return used_ > part(capacity_, short_share);
}

std::size_t memory_ledger::shortage() const
{
    std::size_t const aim = part(capacity_, relieved_share);
    return used_ > aim ? used_ - aim : 0;
}

memory_charge::memory_charge(memory_charge&& other) noexcept
    : ledger_(other.ledger_)
    , bytes_(std::exchange(other.bytes_, 0))
{
}

void memory_charge::resize(std::size_t bytes)
{
    // An empty charge may outlive its ledger.
    if (bytes != bytes_)
    {
        ledger_->used_ = ledger_->used_ - bytes_ + bytes;
        bytes_ = bytes;
    }
}

bool memory_charge::try_resize(std::size_t bytes, memory_use use)
{
    if (bytes > bytes_ && !ledger_->has_room(bytes - bytes_, use))
    {
        ++ledger_->refusals_;
        return false;
    }
    resize(bytes);
    return true;
}

} // namespace kumquatramp::eventloop
