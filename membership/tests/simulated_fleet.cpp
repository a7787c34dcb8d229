// Hosts, platform, network and event loop of the simulated fleet.
#include "simulated_fleet.hpp"

#include <algorithm>
#include <array>
#include <membership/voters.hpp>

namespace kumquatramp
{

namespace
{

constexpr duration check_interval = 20ms;
constexpr std::array<char const*, 3> zone_names{"osu", "tema", "madina"};

// Approximate sizes on the wire in bytes. A message holds a digest with three
// stamps, the JSON-RPC envelope, the frame and the TCP/IP headers.
constexpr std::uint64_t message_size = 310 + 60 + 68 + 52;
constexpr std::uint64_t heartbeat_size = 76;

std::uint64_t bytes_of(peer_digest const& digest)
{
    return message_size + heartbeat_size * digest.heartbeats.size();
}

zone_name zone_of(std::size_t index, std::size_t zones)
{
    auto const zone = index % zones;
    auto const* const name = zone_names[zone % zone_names.size()];
    auto const group = zone / zone_names.size();
    return zone_name{group == 0 ? name : name + std::to_string(group)};
}

} // namespace

simulated_fleet::simulated_fleet(std::size_t count,
                                 membership_options const& options,
                                 std::uint64_t seed, std::size_t zones)
    : options_(options)
    , random_(seed)
{
    for (std::size_t i = 0; i < count; ++i)
    {
        member_entry entry;
        entry.zone = zone_of(i, zones);
        entry.name = host_name{entry.zone.value() + "-" + std::to_string(i)};
        list_.push_back(entry);
        index_of_[entry.name] = i;
    }
    hosts_.resize(count);
    for (std::size_t i = 0; i < count; ++i)
    {
        hosts_[i].entry = list_[i];
        restart(i);
    }
}

void simulated_fleet::boot(host& h)
{
    h.life = incarnation{random_.next()};
    h.table =
        std::make_unique<member_table>(h.entry, h.life, options_, random_);
    h.table->apply_list(list_, now_);
    h.lease = std::make_unique<view_lease>(h.entry.name, options_);
    h.lease->set_members(static_cast<std::uint32_t>(list_.size()), now_);
    h.lease->set_voters(choose_voters(list_), now_);
    h.election = std::make_unique<steward_election>(h.entry.name, options_);
    h.pacer = std::make_unique<read_pacer>(options_, random_);
    h.version_in_force = 0;
    h.alive = true;
    h.paused_until = {};
}

void simulated_fleet::restart(std::size_t index)
{
    auto& h = hosts_[index];
    boot(h);
    schedule_round(index, h.life, now_ + duration(random_.below(500'000'000)));
}

void simulated_fleet::publish()
{
    ++published_;
}

void simulated_fleet::pause(std::size_t index, duration span)
{
    hosts_[index].paused_until = now_ + span;
}

void simulated_fleet::assign_group(std::size_t index, int group)
{
    hosts_[index].group = group;
}

bool simulated_fleet::may_send(host const& h) const
{
    return h.alive && !paused(h) && h.version_in_force > 0 &&
           h.lease->valid(now_);
}

std::uint64_t simulated_fleet::required_version() const
{
    return static_cast<std::uint64_t>(std::count_if(
        first_read_.begin(), first_read_.end(),
        [&](time_point at) { return now_ - at > max_staleness; }));
}

void simulated_fleet::at(time_point when, event action)
{
    events_.emplace(when, std::move(action));
}

duration simulated_fleet::delay()
{
    return 1ms + duration(random_.below(30'000'000));
}

void simulated_fleet::deliver(std::size_t index, time_point when, event action)
{
    auto const life = hosts_[index].life;
    at(when,
       [this, index, life, action = std::move(action)]
       {
           auto const& h = hosts_[index];
           if (!h.alive || h.life != life)
           {
               return;
           }
           if (paused(h))
           {
               deliver(index, h.paused_until, action);
               return;
           }
           action();
       });
}

void simulated_fleet::schedule_round(std::size_t index, incarnation life,
                                     time_point when)
{
    deliver(index, when,
            [this, index, life]
            {
                run_round(index);
                schedule_round(index, life, now_ + options_.round);
            });
}

void simulated_fleet::run_round(std::size_t index)
{
    auto& h = hosts_[index];
    if (!h.lease->valid(now_) || !h.lease->in_quorum(now_))
    {
        h.election->reset(now_);
    }
    h.election->set_serving(h.table->serving(now_), now_);
    bool const urgent = h.lease->age(now_) > options_.view_lifetime / 2;
    if (h.table->is_reader(now_) ||
        h.pacer->due(h.lease->age(now_), list_.size(), now_))
    {
        read_platform(index);
    }
    for (auto const& peer : h.table->pick_peers(now_, urgent))
    {
        exchange(index, index_of_.at(peer.name));
    }
}

void simulated_fleet::read_platform(std::size_t index)
{
    ++reads_;
    if (!hosts_[index].platform_reachable)
    {
        return;
    }
    auto const request_time = now_;
    at(now_ + delay(),
       [this, index, request_time]
       {
           auto const lag = hosts_[index].platform_lag;
           auto const version = published_ > lag ? published_ - lag : 1;
           while (first_read_.size() < version)
           {
               first_read_.push_back(now_);
           }
           deliver(index, now_ + delay(),
                   [this, index, request_time, version]
                   {
                       auto& h = hosts_[index];
                       if (version < h.version_in_force)
                       {
                           h.lease->reject_platform(now_);
                           return;
                       }
                       h.version_in_force = version;
                       h.lease->confirm_by_platform(request_time);
                   });
       });
}

peer_digest simulated_fleet::digest_of(host& h, bool answer)
{
    peer_digest digest;
    digest.from = h.entry.name;
    digest.life = h.life;
    digest.booted = h.version_in_force > 0;
    digest.stamps = {
        {config_key::rules,
         {config_version{h.version_in_force}, h.version_in_force}}};
    digest.view_age = h.lease->age(now_);
    digest.heartbeats = h.table->next_heartbeats(h.leaving, now_, answer);
    return digest;
}

void simulated_fleet::apply_digest(host& h, peer_digest const& digest)
{
    h.table->merge(digest, now_);
    auto const version = digest.stamps.at(0).stamp.version.value();
    if (version <= h.version_in_force)
    {
        return;
    }
    auto const index = static_cast<std::size_t>(&h - hosts_.data());
    deliver(index, now_ + delay(),
            [this, index, version]
            {
                auto& receiver = hosts_[index];
                receiver.version_in_force =
                    std::max(receiver.version_in_force, version);
            });
}

void simulated_fleet::exchange(std::size_t from, std::size_t to)
{
    auto const request_time = now_;
    auto const request = digest_of(hosts_[from], false);
    hosts_[from].bytes_sent += bytes_of(request);
    if (hosts_[from].group != hosts_[to].group || !hosts_[to].alive)
    {
        return;
    }
    deliver(to, now_ + delay(),
            [this, from, to, request_time, request]
            {
                apply_digest(hosts_[to], request);
                auto const answer = digest_of(hosts_[to], true);
                hosts_[to].bytes_sent += bytes_of(answer);
                if (hosts_[from].group != hosts_[to].group)
                {
                    return;
                }
                deliver(
                    from, now_ + delay(),
                    [this, from, request_time, answer]
                    {
                        auto& h = hosts_[from];
                        apply_digest(h, answer);
                        auto const version =
                            answer.stamps.at(0).stamp.version.value();
                        h.lease->record_contact(answer.from, request_time,
                                                version > h.version_in_force);
                        if (answer.booted && version == h.version_in_force)
                        {
                            h.lease->confirm_by_peer(answer.from, request_time,
                                                     answer.view_age);
                        }
                    });
            });
}

void simulated_fleet::run_until(time_point end,
                                std::function<void()> const& check)
{
    while (now_ < end)
    {
        now_ += check_interval;
        check(); // before the events that are due by now run
        auto const due = now_;
        while (!events_.empty() && events_.begin()->first <= due)
        {
            auto const next = events_.extract(events_.begin());
            next.mapped()();
        }
        check();
    }
}

} // namespace kumquatramp
