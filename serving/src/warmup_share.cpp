// Limits the sends of the last second to each cold target to this host's share.
#include <serving/warmup_share.hpp>

namespace kumquatramp::serving
{

namespace
{

/// Above this number of entries those of idle targets are removed.
constexpr std::size_t max_tracked_targets = 256;
/// No target stays cold for longer than this.
constexpr duration max_warmup = 1h;

} // namespace

warmup_share::warmup_share(std::string self)
    : self_(std::move(self))
{
}

bool warmup_share::spend(std::string_view target, double rate, int rank,
                         int hosts, time_point now)
{
    int const whole = static_cast<int>(rate);
    double const fraction = rate - whole;
    int const equal_share = whole / hosts;
    // The remainder of the integer division goes to the hosts of lowest rank.
    int const remainder = whole - equal_share * hosts;
    int const share = equal_share + (rank < remainder ? 1 : 0);
    if (sends_.size() > max_tracked_targets)
    {
        std::erase_if(sends_,
                      [&](auto const& entry)
                      {
                          auto const& [whole_sends, fractional] = entry.second;
                          return (whole_sends.empty() ||
                                  whole_sends.back() <= now - 1s) &&
                                 fractional <= now - max_warmup;
                      });
    }
    auto& sent = sends_[std::string(target)];
    while (!sent.whole.empty() && sent.whole.front() <= now - 1s)
    {
        sent.whole.pop_front();
    }
    if (static_cast<int>(sent.whole.size()) < share)
    {
        sent.whole.push_back(now);
        return true;
    }
    double const since =
        std::chrono::duration<double>(now - sent.fractional).count();
    if (rank != remainder || since * fraction < 1.0)
    {
        return false;
    }
    sent.fractional = now;
    return true;
}

} // namespace kumquatramp::serving
