// Interface of the random number generator used for decisions.
#ifndef KUMQUATRAMP_BASE_RANDOM_SOURCE_HPP
#define KUMQUATRAMP_BASE_RANDOM_SOURCE_HPP

#include <cstdint>

namespace kumquatramp
{

/// Generates uniformly distributed 64-bit numbers. Implementations used by a
/// node must be safe to call from any thread.
class random_source
{
public:
    random_source() = default;
    random_source(random_source const&) = delete;
    random_source& operator=(random_source const&) = delete;
    virtual ~random_source() = default;

    virtual std::uint64_t next() noexcept = 0;

    /// A number in [0, bound); 0 if bound is 0.
    std::uint64_t below(std::uint64_t bound) noexcept
    {
        return bound == 0 ? 0 : next() % bound;
    }

    /// A number in [0, 1).
    double unit() noexcept
    {
        constexpr double scale = 1.0 / 9007199254740992.0; // 2^-53
        return static_cast<double>(next() >> 11) * scale;
    }
};

} // namespace kumquatramp

#endif
