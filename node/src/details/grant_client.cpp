// Requests to stewards and the grants received from them.
#include "details/grant_client.hpp"
#include <base/rendezvous.hpp>
#include <utility>

namespace kumquatramp
{

namespace
{

// Minimum interval between requests for the same target.
constexpr duration request_interval = 20ms;

// Pause after a failed connection to the target.
constexpr duration unreachable_backoff = 1s;

// A request without an answer is considered lost after this time.
constexpr duration request_timeout = 500ms;

} // namespace

grant_client::grant_client(host_name self, member_table const& members)
    : self_(std::move(self))
    , members_(members)
{
}

std::optional<member_entry> grant_client::steward_of(target_name const& target,
                                                     time_point now) const
{
    std::optional<member_entry> steward;
    std::uint64_t highest = 0;
    for (auto& member : members_.serving(now))
    {
        auto const weight =
            rendezvous_weight(target.value(), member.name.value());
        if (!steward || weight > highest)
        {
            highest = weight;
            steward = std::move(member);
        }
    }
    return steward;
}

std::optional<held_grant> grant_client::take(target_name const& target,
                                             time_point now, action_list& out)
{
    {
        std::lock_guard const guard(mutex_);
        auto& target_grants = grants_by_target_[target];
        while (!target_grants.held.empty())
        {
            auto grant = std::move(target_grants.held.back());
            target_grants.held.pop_back();
            if (now < grant.expires)
            {
                return grant;
            }
            out.push_back(
                make_report(grant, target, attempt_outcome::not_sent, {}));
        }
        if (now < target_grants.next_request)
        {
            return std::nullopt;
        }
        target_grants.next_request = now + request_timeout;
    }
    auto const steward = steward_of(target, now);
    if (steward && steward->name != self_)
    {
        out.push_back(ask_grant{*steward, target});
    }
    return std::nullopt;
}

void grant_client::on_answer(member_entry const& steward,
                             target_name const& target,
                             grant_answer const& answer, time_point asked,
                             time_point now)
{
    std::lock_guard const guard(mutex_);
    auto& target_grants = grants_by_target_[target];
    target_grants.next_request =
        now + (answer.granted() ? 0ms : request_interval);
    if (answer.granted())
    {
        target_grants.held.push_back(
            {steward, answer.grant, asked + grant_lifetime, answer.seen.epoch});
    }
}

void grant_client::back_off(target_name const& target, time_point now)
{
    std::lock_guard const guard(mutex_);
    grants_by_target_[target].next_request = now + unreachable_backoff;
}

void grant_client::expire(time_point now, action_list& out)
{
    std::lock_guard const guard(mutex_);
    for (auto& [target, target_grants] : grants_by_target_)
    {
        std::erase_if(target_grants.held,
                      [&, &target = target](held_grant const& grant)
                      {
                          bool const is_expired = grant.expires <= now;
                          if (is_expired)
                          {
                              out.push_back(
                                  make_report(grant, target,
                                              attempt_outcome::not_sent, {}));
                          }
                          return is_expired;
                      });
    }
    std::erase_if(grants_by_target_,
                  [&](auto const& entry) {
                      return entry.second.held.empty() &&
                             entry.second.next_request <= now;
                  });
}

report_grant make_report(held_grant const& grant, target_name target,
                         attempt_outcome outcome, duration latency)
{
    return {grant.steward, {std::move(target), grant.number, outcome, latency}};
}

} // namespace kumquatramp
