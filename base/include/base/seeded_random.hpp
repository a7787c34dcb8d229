// Seeded random number generator, for the daemon and for reproducible tests.
#ifndef KUMQUATRAMP_BASE_SEEDED_RANDOM_HPP
#define KUMQUATRAMP_BASE_SEEDED_RANDOM_HPP

#include <base/random_source.hpp>
#include <mutex>
#include <random>

namespace kumquatramp
{

/// std::mt19937_64 behind a mutex; safe to call from any thread. The same seed
/// gives the same sequence.
class seeded_random final : public random_source
{
public:
    explicit seeded_random(std::uint64_t seed)
        : engine_(seed)
    {
    }

    std::uint64_t next() noexcept override
    {
        std::lock_guard const guard(mutex_);
        return engine_();
    }

private:
    std::mutex mutex_;
    std::mt19937_64 engine_; // guarded by mutex_
};

} // namespace kumquatramp

#endif
