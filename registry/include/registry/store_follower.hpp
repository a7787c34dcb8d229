// Keeps this host's copy of the platform's store up to date.
#ifndef KUMQUATRAMP_REGISTRY_STORE_FOLLOWER_HPP
#define KUMQUATRAMP_REGISTRY_STORE_FOLLOWER_HPP

#include <base/random_source.hpp>
#include <base/time.hpp>
#include <registry/store_item.hpp>
#include <serving/event_sink.hpp>
#include <string>

namespace kumquatramp::registry
{

class store_port;
class store_sink;

struct follower_options
{
    /// How long a watch waits. A lost answer shows only when it is over.
    duration watch_wait = 4s;
    /// Least time between two answers with changes: under many changes several
    /// come with one call.
    duration min_change_interval = 350ms;
};

/// Lists once, then watches; lists again when the history has gone. Failed
/// calls are repeated with growing pauses. What was learned stays in use
/// while the store is away.
///
///     store_follower follower(options, port, sink, random, log);
///     follower.tick(now);                 // at next_due() at the latest
///     follower.on_answer(answer, now);    // the port's call has ended
class store_follower
{
public:
    store_follower(follower_options options, store_port& port, store_sink& sink,
                   random_source& random, serving::event_sink& log);

    void tick(time_point now);
    time_point next_due() const { return next_call_; }

    void on_answer(store_answer const& answer, time_point now);
    void on_failure(store_failure failure, char const* cause, time_point now);

    /// The machine was suspended: what is open may have been lost.
    void restart(time_point now);

    /// Stops following until resume, which begins with a new listing.
    void pause();
    void resume(time_point now);

    bool synchronized() const { return synchronized_; }
    bool in_contact() const { return failures_ == 0; }
    time_point last_contact() const { return last_contact_; }
    std::uint64_t calls() const { return calls_; }

private:
    void apply_page(store_answer const& answer, time_point now);
    void apply_changes(store_answer const& answer, time_point now);

    follower_options options_;
    store_port& port_;
    store_sink& sink_;
    random_source& random_;
    serving::event_sink& log_;

    bool listing_ = true;
    bool call_in_progress_ = false; ///< a call is on its way
    bool paused_ = false;
    bool synchronized_ = false;  ///< one listing has been whole
    std::string last_key_;       ///< listing: the last key
    std::uint64_t revision_ = 0; ///< changes up to it are known
    int failures_ = 0;           ///< in a row
    std::uint64_t calls_ = 0;
    time_point next_call_{};
    time_point last_contact_{};
};

} // namespace kumquatramp::registry

#endif
