// Counts requests and extra sends in time slices of the window.
#include <algorithm>
#include <serving/retry_budget.hpp>

namespace kumquatramp::serving
{

namespace
{

/// Slices per window. One more slice of extra sends is counted, so that every
/// sliding window of that length is covered.
constexpr int window_slices = 10;
/// Factor on the limit. The rest is a margin, since a request and its arrival
/// at a target are counted at slightly different times.
constexpr double safety_factor = 0.9;
/// Share of the budget that hedges may use; the rest is left for retries.
constexpr double hedge_share = 0.8;
/// Share of the budget that may be spent in half a window, so that a host that
/// restarts within a window has not spent all of it before.
constexpr double half_window_share = 0.7;
/// Share of the ratio that applies for about one window after a start.
constexpr double restart_ratio_share = 0.5;
/// Above this share of spent budget, retries that a request does not need for
/// success are left out: the rest is kept for requests that fail without them.
constexpr double mostly_spent_share = 0.5;

} // namespace

void retry_budget::configure(double ratio, double slack, duration window,
                             time_point started)
{
    slack_from_ = started + window + window / window_slices;
    ratio_ = ratio;
    slack_ = slack;
    slice_length_ = std::max<duration>(window / window_slices, 1ms);
}

retry_budget::slice& retry_budget::slice_at(time_point now)
{
    std::int64_t const index = now.time_since_epoch() / slice_length_;
    slice& s = slices_[static_cast<std::size_t>(index % slice_count)];
    if (s.index != index)
    {
        s = {index, 0, 0};
    }
    return s;
}

void retry_budget::count_request(time_point now)
{
    ++slice_at(now).requests;
}

double retry_budget::bound(int hosts, time_point now)
{
    std::int64_t const present = slice_at(now).index;
    int requests = 0;
    for (slice const& s : slices_)
    {
        if (s.index > present - window_slices && s.index <= present)
        {
            requests += s.requests;
        }
    }
    if (now < slack_from_)
    {
        return safety_factor * restart_ratio_share * ratio_ * requests;
    }
    return safety_factor * (ratio_ * requests + slack_ / std::max(hosts, 1));
}

double retry_budget::spent(int slices, time_point now)
{
    std::int64_t const present = slice_at(now).index;
    int extras = 0;
    for (slice const& s : slices_)
    {
        if (s.index >= present - slices && s.index <= present)
        {
            extras += s.extras;
        }
    }
    return extras;
}

double retry_budget::left(use purpose, int hosts, time_point now)
{
    double const share = purpose == use::hedge ? hedge_share : 1.0;
    double const limit = share * bound(hosts, now);
    return std::min(limit - spent(window_slices, now),
                    limit * half_window_share - spent(window_slices / 2, now));
}

bool retry_budget::mostly_spent(int hosts, time_point now)
{
    return spent(window_slices, now) > mostly_spent_share * bound(hosts, now);
}

bool retry_budget::spend(use purpose, int hosts, time_point now)
{
    if (left(purpose, hosts, now) < 1.0)
    {
        return false;
    }
    ++slice_at(now).extras;
    return true;
}

} // namespace kumquatramp::serving
