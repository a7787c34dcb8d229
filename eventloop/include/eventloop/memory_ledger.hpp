// Account of the memory that a process holds for requests and responses.
#ifndef KUMQUATRAMP_EVENTLOOP_MEMORY_LEDGER_HPP
#define KUMQUATRAMP_EVENTLOOP_MEMORY_LEDGER_HPP

#include <cstddef>
#include <cstdint>
#include <limits>

namespace kumquatramp::eventloop
{

class memory_charge;

/// What memory is used for.
enum class memory_use
{
    small, ///< connections and small requests; may use all of the capacity
    large, ///< large bodies; leave a part of the capacity to small requests
};

/// One for all connections of a process, so that any of them may use the
/// memory that the others leave. Holders count what they have allocated by
/// means of memory_charge. Not thread-safe.
///
///     memory_ledger ledger(64U << 20U);
///     memory_charge body(ledger);
///     if (!body.try_resize(262144, memory_use::large)) refuse();
class memory_ledger
{
public:
    static constexpr std::size_t unlimited =
        std::numeric_limits<std::size_t>::max();

    explicit memory_ledger(std::size_t capacity = unlimited)
        : capacity_(capacity)
    {
    }
    memory_ledger(memory_ledger const&) = delete;
    memory_ledger& operator=(memory_ledger const&) = delete;

    std::size_t capacity() const { return capacity_; }
    /// May exceed the capacity by what was charged without asking.
    std::size_t used() const { return used_; }
    bool has_room(std::size_t bytes, memory_use use) const;
    /// Whether so much is used that holders should give up what makes no
    /// progress.
    bool is_short() const;
    /// Bytes to be given up until the ledger is not nearly short any more.
    std::size_t shortage() const;
    /// Charges that were refused since the start.
    std::uint64_t refusals() const { return refusals_; }

private:
    friend class memory_charge;

    std::size_t capacity_;
    std::size_t used_ = 0; ///< sum of all charges
    std::uint64_t refusals_ = 0;
};

/// What one holder has charged to a ledger; its destructor takes it back. The
/// ledger must outlive it unless it is empty.
class memory_charge
{
public:
    explicit memory_charge(memory_ledger& ledger)
        : ledger_(&ledger)
    {
    }
    ~memory_charge() { resize(0); }
    memory_charge(memory_charge&& other) noexcept;
    memory_charge& operator=(memory_charge&&) = delete;

    std::size_t bytes() const { return bytes_; }
    /// For memory that is allocated already, or must be.
    void resize(std::size_t bytes);
    /// Returns false and changes nothing if there is no room. Always succeeds
    /// if the charge doesn't grow.
    bool try_resize(std::size_t bytes, memory_use use);

private:
    memory_ledger* ledger_;
    std::size_t bytes_ = 0;
};

} // namespace kumquatramp::eventloop

#endif
