// Acceptance of incarnations, and liveness derived from heartbeats.
#include <algorithm>
#include <details/member_record.hpp>
#include <utility>

namespace kumquatramp
{

namespace
{

constexpr std::size_t max_other_incarnations = 4;

} // namespace

member_record::member_record(member_entry entry, bool listed)
    : entry_(std::move(entry))
    , listed_(listed)
{
}

void member_record::set_entry(member_entry const& entry)
{
    entry_ = entry;
    listed_ = true;
}

bool member_record::observe(heartbeat const& beat, source from,
                            membership_options const& options, time_point now)
{
    if (has_incarnation_ && beat.life == life_)
    {
        return observe_known(beat, now);
    }
    return observe_other(beat, from,
                         increased_within(options.suspicion_time, now), now);
}

bool member_record::observe_known(heartbeat const& beat, time_point now)
{
    if (beat.count > count_)
    {
        count_ = beat.count;
        last_increase_ = now;
    }
    bool const newly_leaving = beat.leaving && !leaving_;
    leaving_ = leaving_ || beat.leaving;
    return newly_leaving;
}

bool member_record::observe_other(heartbeat const& beat, source from,
                                  bool recently_increased, time_point now)
{
    auto const known = std::find_if(others_.begin(), others_.end(),
                                    [&](other_incarnation const& item)
                                    { return item.life == beat.life; });
    if (known == others_.end())
    {
        if (from == source::another && has_incarnation_)
        {
            remember(beat.life, beat.count, now);
            return false;
        }
    }
    else if (beat.count <= known->count)
    {
        return false;
    }
    if (from == source::another && recently_increased)
    {
        return false;
    }
    adopt(beat, now);
    return true;
}

bool member_record::increased_within(duration span, time_point now) const
{
    return has_incarnation_ && now - last_increase_ <= span;
}

void member_record::remember(incarnation life, std::uint64_t count,
                             time_point seen)
{
    if (others_.size() == max_other_incarnations)
    {
        others_.erase(others_.begin());
    }
    others_.push_back({life, count, seen});
}

void member_record::adopt(heartbeat const& beat, time_point now)
{
    std::erase_if(others_, [&](other_incarnation const& item)
                  { return item.life == beat.life; });
    if (has_incarnation_)
    {
        remember(life_, count_, last_increase_);
    }
    has_incarnation_ = true;
    life_ = beat.life;
    count_ = beat.count;
    last_increase_ = now;
    leaving_ = beat.leaving;
}

bool member_record::heard_within(duration span, time_point now) const
{
    if (has_incarnation_ && now - last_increase_ <= span)
    {
        return true;
    }
    return std::any_of(others_.begin(), others_.end(),
                       [&](other_incarnation const& item)
                       { return now - item.seen <= span; });
}

liveness member_record::state(membership_options const& options,
                              time_point now) const
{
    bool const heard_of = heard_within(options.death_time, now);
    bool const leaving = entry_.leaving || (has_incarnation_ && leaving_);
    if (has_incarnation_ && !heard_of)
    {
        return liveness::dead;
    }
    if (leaving)
    {
        return liveness::leaving;
    }
    if (!heard_of)
    {
        return liveness::unheard;
    }
    return increased_within(options.suspicion_time, now) ? liveness::live
                                                         : liveness::suspect;
}

heartbeat member_record::beat() const
{
    return {entry_.name, life_, count_, leaving_};
}

} // namespace kumquatramp
