// Selection of the voters by rendezvous over the members' names.
#include <algorithm>
#include <base/rendezvous.hpp>
#include <membership/voters.hpp>

namespace kumquatramp
{

namespace
{

constexpr std::string_view voters_key = "voters";

bool heavier(host_name const& a, host_name const& b)
{
    auto const weight_a = rendezvous_weight(voters_key, a.value());
    auto const weight_b = rendezvous_weight(voters_key, b.value());
    return weight_a != weight_b ? weight_a > weight_b : a < b;
}

} // namespace

std::vector<host_name> choose_voters(std::span<member_entry const> list)
{
    std::vector<host_name> voters;
    voters.reserve(list.size());
    for (auto const& entry : list)
    {
        voters.push_back(entry.name);
    }
    std::sort(voters.begin(), voters.end(), heavier);
    voters.resize(std::min(voters.size(), max_voters));
    std::sort(voters.begin(), voters.end());
    return voters;
}

} // namespace kumquatramp
