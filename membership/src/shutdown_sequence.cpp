// Timing of the phases of a graceful shutdown.
#include <membership/shutdown_sequence.hpp>

namespace kumquatramp
{

namespace
{

// Gossip rounds within which the leaving flag reaches every peer.
constexpr int propagation_rounds = 8;

// A peer that learns from the platform's list or a delayed exchange that this
// host is leaving may keep naming it in discovery answers for the lifetime of
// the peer's view.
duration propagation_time(membership_options const& options)
{
    return options.view_lifetime + propagation_rounds * options.round;
}

} // namespace

std::string_view to_string(shutdown_phase phase) noexcept
{
    switch (phase)
    {
    case shutdown_phase::serving:
        return "serving";
    case shutdown_phase::leaving:
        return "leaving";
    case shutdown_phase::refusing:
        return "refusing";
    case shutdown_phase::done:
        return "done";
    }
    return "unknown";
}

shutdown_sequence::shutdown_sequence(membership_options const& options)
    : leaving_time_(options.discovery_lifetime + propagation_time(options))
{
}

void shutdown_sequence::request(time_point now)
{
    std::lock_guard const guard(mutex_);
    if (requested_ == never)
    {
        requested_ = now;
    }
}

shutdown_phase shutdown_sequence::phase(std::uint32_t in_flight,
                                        time_point now) const
{
    std::lock_guard const guard(mutex_);
    if (requested_ == never)
    {
        return shutdown_phase::serving;
    }
    if (now - requested_ < leaving_time_)
    {
        return shutdown_phase::leaving;
    }
    return in_flight > 0 ? shutdown_phase::refusing : shutdown_phase::done;
}

} // namespace kumquatramp
