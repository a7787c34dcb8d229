// Sends of the last second to each cold target, against this host's share.
#include <serving/warmup_share.hpp>

namespace kumquatramp::serving
{

namespace
{

/// Beyond so many targets those that are idle are forgotten.
constexpr std::size_t most_targets = 256;

} // namespace

warmup_share::warmup_share(std::string self)
    : self_(std::move(self))
{
}

bool warmup_share::spend(std::string_view target, double rate, int rank,
                         int hosts, time_point now)
{
    int const whole = static_cast<int>(rate);
    int const each = whole / hosts;
    // What an equal division leaves over goes to the first hosts by rank.
    int const share = each + (rank < whole - each * hosts ? 1 : 0);
    if (sends_.size() > most_targets)
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
