// Schedules reads of the platform's values.
#ifndef KUMQUATRAMP_NODE_DETAILS_PLATFORM_READER_HPP
#define KUMQUATRAMP_NODE_DETAILS_PLATFORM_READER_HPP

#include <array>
#include <base/random_source.hpp>
#include <base/time.hpp>
#include <config/config_store.hpp>
#include <mutex>
#include <node/actions.hpp>

namespace kumquatramp
{

/// At most one read per key is pending at a time. Thread-safe.
class platform_reader
{
public:
    /// `wait` is how long a read may wait for a newer value; `retry` is the
    /// mean time from the start of a failed read to the next one. `random` must
    /// outlive the reader.
    platform_reader(config_store const& store, duration wait, duration retry,
                    random_source& random);

    /// Starts the reads that are due.
    void read_due(time_point now, action_list& out);

    /// A read that was started at `asked` was answered.
    void on_answer(config_key key, time_point asked);

    /// A read failed; the next one starts after a jittered delay, at once if
    /// the read has taken longer than that.
    void on_failure(config_key key, time_point now);

    /// Of the last good answer of each key, the earliest time at which one was
    /// requested; empty if some key has had no good answer yet.
    std::optional<time_point> oldest_answer() const;

    /// When the next read is due; `never` while all reads are pending.
    time_point next() const;

private:
    struct key_state
    {
        bool pending = false;
        time_point started{}; ///< of the latest read
        time_point due{};
        std::optional<time_point> answered;
    };

    key_state& state_of(config_key key)
    {
        return keys_[static_cast<std::size_t>(key)];
    }

    config_store const& store_;
    duration const wait_;
    duration const retry_;
    random_source& random_;
    mutable std::mutex mutex_;
    std::array<key_state, all_config_keys.size()> keys_; // guarded by mutex_
};

} // namespace kumquatramp

#endif
