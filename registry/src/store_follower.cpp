// List and watch calls with exponential back-off.
#include <algorithm>
#include <registry/store_follower.hpp>
#include <registry/store_port.hpp>
#include <registry/store_sink.hpp>
#include <set>
#include <span>
#include <string_view>
#include <vector>

namespace kumquatramp::registry
{

namespace
{

/// Time from the start of a failed call to the next one: the initial value
/// after the first failure, doubled with each consecutive one up to the
/// maximum, with a jitter of +/-25 %. A call that got no answer has already
/// taken longer and is repeated at once.
constexpr duration initial_backoff = 150ms;
constexpr duration max_backoff = 1s;
constexpr double min_jitter = 0.75;
constexpr double max_jitter = 1.25;

/// A watch that ends without an answer after this time was waiting and has been
/// cut, which is no failure of the store. An earlier end is one.
constexpr duration min_cut_wait = 50ms;

/// Time for a new connection to a sound store and for its answer.
constexpr duration answer_time = 300ms;

/// Part of the contact bound for the call after one that got no answer, and for
/// what its answer brings.
constexpr duration recontact_time = answer_time + 200ms;
constexpr duration min_watch_wait = 500ms;

/// While the store is out of contact, watches are short: one that is sent just
/// before the store's return may get no answer and holds up the next one.
duration watch_wait(duration contact_bound, bool in_contact)
{
    duration const longest =
        contact_bound - store_port::response_margin - recontact_time;
    return in_contact ? std::max<duration>(longest, min_watch_wait)
                      : min_watch_wait;
}

/// The changes without values that a later one of the same key replaces.
/// Deletions are kept, since they end what was there before.
std::vector<store_item const*>
current_values(std::span<store_item const> changes)
{
    std::set<std::string_view> replaced;
    std::vector<store_item const*> current;
    for (auto it = changes.rbegin(); it != changes.rend(); ++it)
    {
        if (it->deleted || replaced.insert(it->key).second)
        {
            current.push_back(&*it);
        }
    }
    std::reverse(current.begin(), current.end());
    return current;
}

duration scaled(duration whole, double factor)
{
    return std::chrono::duration_cast<duration>(whole * factor);
}

} // namespace

duration store_follower::change_bound(follower_options const& options)
{
    return options.min_change_interval + scaled(initial_backoff, max_jitter) +
           answer_time;
}

store_follower::store_follower(follower_options options, store_port& port,
                               store_sink& sink, random_source& random,
                               serving::event_sink& log)
    : options_(options)
    , port_(port)
    , sink_(sink)
    , random_(random)
    , log_(log)
{
}

void store_follower::tick(time_point now)
{
    if (call_in_progress_ || paused_ || now < next_call_)
    {
        return;
    }
    call_in_progress_ = true;
    answer_outdated_ = false;
    call_started_ = now;
    next_call_ = never;
    ++calls_;
    if (restored_ && now >= trusted_at_ &&
        (!listing_ || listing_kind_ == listing_kind::restored))
    {
        listing_ = true;
        last_key_.clear();
    }
    if (!listing_)
    {
        duration const wait = watch_wait(options_.contact_bound, in_contact());
        port_.watch(revision_,
                    restored_ ? std::min(wait, trusted_at_ - now) : wait);
        return;
    }
    if (last_key_.empty())
    {
        listing_kind_ = restored_ && now < trusted_at_ ? listing_kind::restored
                                                       : listing_kind::complete;
        sink_.begin_listing(listing_kind_);
    }
    port_.list(last_key_);
}

void store_follower::on_era(std::uint64_t era)
{
    if (era_ && era != *era_)
    {
        start_over("era " + std::to_string(era) + " after " +
                   std::to_string(*era_));
    }
    era_ = era;
}

void store_follower::start_over(std::string const& evidence)
{
    ++replaced_histories_;
    log_.note("store.history_replaced", "store",
              evidence + "; changes received up to revision " +
                  std::to_string(revision_) + "; listing again");
    answer_outdated_ = call_in_progress_;
    listing_ = true;
    last_key_.clear();
    // A host without an earlier listing knows nothing better than the copy.
    restored_ = synchronized_;
    trusted_at_ = never;
}

void store_follower::on_answer(store_answer const& answer, time_point now)
{
    call_in_progress_ = false;
    last_contact_ = now;
    if (failures_ > 0)
    {
        log_.note("store.regained", "store",
                  "after " + std::to_string(failures_) + " failed calls");
        failures_ = 0;
    }
    if (answer_outdated_)
    {
        schedule_retry(initial_backoff, now);
    }
    else if (listing_)
    {
        apply_page(answer, now);
    }
    else
    {
        apply_changes(answer, now);
    }
}

void store_follower::apply_page(store_answer const& answer, time_point now)
{
    if (last_key_.empty())
    {
        // The pages of a listing are not a consistent snapshot. The watch
        // starts at the revision of the first page, so that it returns the
        // changes made during the listing.
        revision_ = answer.revision;
    }
    for (auto const& item : answer.items)
    {
        sink_.apply(item, now);
    }
    next_call_ = now;
    if (answer.more && !answer.items.empty())
    {
        last_key_ = answer.items.back().key;
        return;
    }
    last_key_.clear();
    listing_ = false;
    sink_.end_listing(now);
    sink_.on_current(now);
    bool const trusted = listing_kind_ == listing_kind::complete;
    if (restored_ && trusted_at_ == never)
    {
        trusted_at_ = now + options_.restore_time;
    }
    if (!synchronized_ || (restored_ && trusted))
    {
        synchronized_ = true;
        restored_ = restored_ && !trusted;
        log_.note("store.synchronized", "store",
                  "revision " + std::to_string(revision_));
    }
}

void store_follower::apply_changes(store_answer const& answer, time_point now)
{
    if (answer.revision < revision_)
    {
        start_over("revision " + std::to_string(answer.revision));
        schedule_retry(initial_backoff, now);
        return;
    }
    for (auto const* item : current_values(answer.items))
    {
        sink_.apply(*item, now);
    }
    revision_ = answer.revision;
    next_call_ =
        answer.items.empty() ? now : now + options_.min_change_interval;
    sink_.on_current(now);
}

void store_follower::on_failure(store_failure failure, char const* cause,
                                time_point now)
{
    call_in_progress_ = false;
    if (failure == store_failure::history_lost)
    {
        log_.note("store.history_lost", "store",
                  "history no longer kept; listing again");
        last_contact_ = now;
        listing_ = true;
        last_key_.clear();
        next_call_ = now;
        return;
    }
    if (failure == store_failure::interrupted && !listing_ &&
        now - call_started_ >= min_cut_wait)
    {
        ++cuts_;
        schedule_retry(initial_backoff, now);
        return;
    }
    ++failures_;
    if (failures_ == 1)
    {
        log_.note("store.lost", "store", cause);
    }
    if (failure == store_failure::unusable && !listing_)
    {
        // The same watch would get the same answer. A listing holds only the
        // latest version of each item, in pages of bounded size.
        log_.note("store.unusable_changes", "store",
                  std::string(cause) + "; listing instead");
        listing_ = true;
        last_key_.clear();
    }
    duration const backoff = std::min<duration>(
        initial_backoff * (1 << std::min(failures_ - 1, 6)), max_backoff);
    schedule_retry(backoff, now);
}

void store_follower::schedule_retry(duration backoff, time_point now)
{
    double const jitter =
        min_jitter + (max_jitter - min_jitter) * random_.unit();
    next_call_ = std::max(now, call_started_ + scaled(backoff, jitter));
}

void store_follower::pause()
{
    paused_ = true;
    port_.cancel();
    call_in_progress_ = false;
    synchronized_ = false;
    restored_ = false;
}

void store_follower::resume(time_point now)
{
    paused_ = false;
    listing_ = true;
    last_key_.clear();
    failures_ = 0;
    next_call_ = now;
}

void store_follower::restart(time_point now)
{
    if (paused_)
    {
        return;
    }
    port_.cancel();
    call_in_progress_ = false;
    next_call_ = now;
}

} // namespace kumquatramp::registry
