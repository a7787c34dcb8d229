// Follows the platform's store with list and watch calls.
#ifndef KUMQUATRAMP_REGISTRY_STORE_FOLLOWER_HPP
#define KUMQUATRAMP_REGISTRY_STORE_FOLLOWER_HPP

#include <base/random_source.hpp>
#include <base/time.hpp>
#include <optional>
#include <registry/store_item.hpp>
#include <registry/store_sink.hpp>
#include <serving/event_sink.hpp>
#include <string>

namespace kumquatramp::registry
{

class store_port;

struct follower_options
{
    /// Time within which a host must notice that it has lost contact with the
    /// store and regain it. Limits the wait of a watch, whose answer may be
    /// lost without a sign.
    duration contact_bound = 4s;
    /// Minimum time from an answer with changes to the next call, so that one
    /// call returns several changes when they are frequent.
    duration min_change_interval = 350ms;
    /// Time after the first listing of a store that has come back from a copy,
    /// within which what the copy lacks is written again: three of the targets'
    /// reporting intervals, with a margin.
    duration restore_time = 5s;
};

/// Lists all items once, then watches for changes; lists again when the store
/// no longer keeps the history needed, or when it has come back with another
/// one, of which nothing that was received before is a part. That listing is of
/// kind `restored`, and a complete one follows after `restore_time`. Failed
/// calls are repeated with exponential back-off; a waiting watch that the store
/// cuts is repeated without. The items received stay in use while the store is
/// unavailable.
///
///     store_follower follower(options, port, sink, random, log);
///     follower.tick(now);                 // at next_due() at the latest
///     follower.on_answer(answer, now);    // the port's call has ended
class store_follower
{
public:
    store_follower(follower_options options, store_port& port, store_sink& sink,
                   random_source& random, serving::event_sink& log);

    /// Latest time from the store's acceptance of a change to its arrival here,
    /// while the store answers and at most cuts waiting watches.
    static duration change_bound(follower_options const& options);

    /// Starts the next call if it is due.
    void tick(time_point now);
    /// Time of the next call; `never` while one is in progress.
    time_point next_due() const { return next_call_; }

    /// An answer of any kind, also a refusal, states the era of the store's
    /// history. To be called before the answer itself is handled, which is then
    /// ignored if it continues another history.
    void on_era(std::uint64_t era);
    /// Handles the answer of the call in progress.
    void on_answer(store_answer const& answer, time_point now);
    /// Handles the failure of the call in progress; `cause` goes to the log.
    void on_failure(store_failure failure, char const* cause, time_point now);

    /// Cancels the call in progress and makes the next call due immediately:
    /// after a suspension of the machine the answer may have been lost. Has no
    /// effect while paused.
    void restart(time_point now);

    /// Cancels the call in progress and makes no calls until resume, which
    /// starts with a new listing.
    void pause();
    void resume(time_point now);

    /// Whether a listing has been completed since the start or the last pause.
    bool synchronized() const { return synchronized_; }
    /// False from a failed call until the next answer or resume. Lost history
    /// does not count as a failure, since the store has answered.
    bool in_contact() const { return failures_ == 0; }
    time_point last_contact() const { return last_contact_; }
    std::uint64_t calls() const { return calls_; }
    /// Waiting watches that the store cut.
    std::uint64_t cuts() const { return cuts_; }
    /// Changes up to here have been received.
    store_position position() const { return {era_, revision_}; }
    /// Times that the store came back with another history.
    std::uint64_t replaced_histories() const { return replaced_histories_; }

private:
    /// The store's revisions no longer continue those received: makes a listing
    /// the next call.
    void start_over(std::string const& evidence);
    void apply_page(store_answer const& answer, time_point now);
    void apply_changes(store_answer const& answer, time_point now);
    /// Makes the next call due a jittered back-off after the start of the
    /// latest one, but not before `now`.
    void schedule_retry(duration backoff, time_point now);

    follower_options options_;
    store_port& port_;
    store_sink& sink_;
    random_source& random_;
    serving::event_sink& log_;

    bool listing_ = true;
    bool call_in_progress_ = false; ///< a call has been started and not ended
    /// The answer of the call in progress continues a history that has ended.
    bool answer_outdated_ = false;
    /// The store was restored and has not been listed completely since.
    bool restored_ = false;
    /// If restored_: time of the complete listing; `never` until a listing has
    /// shown that the store can be written again.
    time_point trusted_at_{};
    listing_kind listing_kind_ = listing_kind::complete;
    bool paused_ = false;
    bool synchronized_ = false; ///< a listing has been completed
    std::string last_key_; ///< of the listing in progress; empty: first page
    std::uint64_t revision_ = 0; ///< changes up to it have been received
    std::optional<std::uint64_t> era_{}; ///< last stated by the store
    std::uint64_t replaced_histories_ = 0;
    int failures_ = 0; ///< consecutive failed calls
    std::uint64_t calls_ = 0;
    std::uint64_t cuts_ = 0;
    time_point call_started_{}; ///< of the latest call
    time_point next_call_{};
    time_point last_contact_{};
};

} // namespace kumquatramp::registry

#endif
