// Limits the sends of the last second to each cold target to this host's share.
#include <serving/warmup_share.hpp>

namespace kumquatramp::serving
{

namespace
{

/// Above this number of entries those of idle targets are removed.
constexpr std::size_t max_tracked_targets = 256;

} // namespace

warmup_share::warmup_share(std::string self)
    : self_(std::move(self))
{
}

bool warmup_share::spend(std::string_view target, double rate, int rank,
                         int hosts, time_point now)
{
    int const whole = static_cast<int>(rate);
    int const equal_share = whole / hosts;
    // The remainder of the integer division goes to the hosts of lowest rank.
    int const share =
        equal_share + (rank < whole - equal_share * hosts ? 1 : 0);
    if (sends_.size() > max_tracked_targets)
    {
        std::erase_if(sends_,
                      [&](auto const& entry) {
                          return entry.second.empty() ||
                                 entry.second.back() <= now - 1s;
                      });
    }
    auto& sent = sends_[std::string(target)];
    while (!sent.empty() && sent.front() <= now - 1s)
    {
        sent.pop_front();
    }
    if (static_cast<int>(sent.size()) >= share)
    {
        return false;
    }
    sent.push_back(now);
    return true;
}

} // namespace kumquatramp::serving
