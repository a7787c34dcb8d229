// The versioned values of the platform stand-in.
#ifndef KUMQUATRAMP_STANDINS_PLATFORM_VALUE_HISTORY_HPP
#define KUMQUATRAMP_STANDINS_PLATFORM_VALUE_HISTORY_HPP

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace kumquatramp::standins
{

struct versioned_value
{
    std::uint64_t version = 0; ///< 0: the key has no value
    std::string text;
};

/// Stores all versions of each key. Thread-safe.
class value_history
{
public:
    /// Adds a version and returns its number; nullopt if `expected` is given
    /// and is not the current version.
    std::optional<std::uint64_t> put(std::string const& key, std::string text,
                                     std::optional<std::uint64_t> expected);

    /// Waits until the visible value is newer than `after`, `wait` has elapsed
    /// or close() was called, and returns the visible value.
    versioned_value wait_newer(std::string const& key, std::uint64_t after,
                               std::chrono::milliseconds wait);

    /// Makes readers see the value of this many versions ago, at least
    /// version 1.
    void set_stale(std::uint64_t versions);

    /// Wakes all waiting callers, for shutdown.
    void close();

private:
    versioned_value visible(std::string const& key) const;

    mutable std::mutex mutex_;
    std::condition_variable changed_;
    // All members below are guarded by mutex_. texts_ holds versions 1, 2, ...
    // of each key.
    std::map<std::string, std::vector<std::string>> texts_;
    std::uint64_t versions_behind_ = 0;
    bool closed_ = false;
};

} // namespace kumquatramp::standins

#endif
