// Simulated callers: host discovery, requests, and retries on other hosts.
#include <algorithm>
#include <cmath>
#include <scenarios/caller_fleet.hpp>
#include <scenarios/event_queue.hpp>
#include <scenarios/fake_network.hpp>
#include <scenarios/host_driver.hpp>
#include <scenarios/run_log.hpp>

namespace kumquatramp::scenarios
{

namespace
{

constexpr std::size_t callers_per_zone = 6;
constexpr std::uint32_t max_tries = 4;
constexpr duration query_timeout = 2s;
constexpr duration once_timeout = 15s;
constexpr duration retry_delay = 20ms;

// Share of non-idempotent requests that a caller submits twice under the same
// id, and the maximum delay of the second submission.
constexpr double duplicate_share = 0.1;
constexpr duration max_duplicate_delay = 3s;

// Delay after which a caller queries the outcome of a request that failed or
// got no answer.
constexpr duration outcome_query_delay = 3s;

bool is_retriable_elsewhere(error_kind kind)
{
    return kind == error_kind::leaving || kind == error_kind::not_ready ||
           kind == error_kind::stale_view;
}

} // namespace

/// One caller.
struct caller_fleet::simulated_caller
{
    zone_name zone;
    std::vector<host_name> hosts; ///< from the last discovery answer
    time_point expires{};
};

/// One request of a caller, over all its attempts.
struct caller_fleet::call
{
    caller_record record;
    simulated_caller* origin = nullptr;
    bool once = false;
    std::uint64_t key = 0;
    std::string request_id;
    host_driver* last_host = nullptr; ///< host of the current attempt
    std::uint32_t next_host = 0;
    std::uint32_t tries = 0;
    std::uint32_t discoveries = 0;
    std::uint64_t first_asked = 0; // index of the first host queried
    bool ended = false;
};

struct caller_fleet::load
{
    service_name service;
    bool idempotent = true;
    double rate = 0;
    std::uint64_t changes = 0; ///< incremented by each change of the rate
};

caller_fleet::caller_fleet(run_parts const& parts,
                           std::vector<zone_name> const& zones,
                           std::uint64_t seed)
    : parts_(parts)
    , random_(seed)
{
    for (auto const& zone : zones)
    {
        for (std::size_t i = 0; i < callers_per_zone; ++i)
        {
            callers_.push_back(std::make_unique<simulated_caller>(
                simulated_caller{zone, {}, {}}));
        }
    }
}

caller_fleet::~caller_fleet() = default;

void caller_fleet::set_load(service_name const& service, bool idempotent,
                            double rate)
{
    auto& place = loads_[service];
    if (!place)
    {
        place = std::make_shared<load>(load{service, idempotent, 0, 0});
    }
    place->rate = rate;
    ++place->changes;
    schedule(place);
}

void caller_fleet::schedule(std::shared_ptr<load> const& service_load)
{
    if (service_load->rate <= 0)
    {
        return;
    }
    auto const seconds = -std::log1p(-random_.unit()) / service_load->rate;
    auto const gap = duration(static_cast<duration::rep>(seconds * 1e9));
    parts_.queue.after(gap,
                       [this, service_load, changes = service_load->changes]
                       {
                           if (service_load->changes == changes)
                           {
                               start_call(*service_load);
                               schedule(service_load);
                           }
                       });
}

void caller_fleet::start_call(load const& service_load)
{
    auto const pending = std::make_shared<call>();
    pending->record.service = service_load.service;
    pending->record.asked = parts_.queue.now();
    pending->once = !service_load.idempotent;
    pending->key = next_key_++;
    pending->origin = callers_[random_.below(callers_.size())].get();
    if (pending->origin->expires <= parts_.queue.now())
    {
        find_hosts(pending);
        return;
    }
    try_next_host(pending);
}

void caller_fleet::send_to_host(call_ptr const& pending, host_driver& host,
                                std::function<void()> arrival)
{
    auto const attempt = pending->tries;
    parts_.network.send(
        callers_endpoint, host.name().value(),
        [this, pending, &host, attempt, arrival = std::move(arrival)]
        {
            if (!host.alive())
            {
                parts_.network.send(host.name().value(), callers_endpoint,
                                    [this, pending, attempt]
                                    { on_no_answer(pending, attempt); });
                return;
            }
            host.deliver(arrival);
        });
    auto const timeout = pending->once ? once_timeout : query_timeout;
    parts_.queue.after(timeout, [this, pending, attempt]
                       { on_no_answer(pending, attempt); });
}

void caller_fleet::find_hosts(call_ptr const& pending)
{
    if (pending->discoveries >= max_tries)
    {
        finish(pending, nullptr);
        return;
    }
    if (pending->discoveries == 0)
    {
        pending->first_asked = random_.below(parts_.hosts.size());
    }
    // A caller that gets no answer moves on to the next host rather than
    // querying the same one again.
    auto const turn = pending->first_asked + pending->discoveries++;
    pending->origin->hosts.clear();
    auto at = parts_.hosts.begin();
    std::advance(at, turn % parts_.hosts.size());
    auto& host = *at->second;
    ++pending->tries;
    pending->last_host = nullptr;
    auto const attempt = pending->tries;
    send_to_host(pending, host,
                 [this, pending, &host, attempt]
                 {
                     discovery_request wanted;
                     wanted.zone = pending->origin->zone;
                     wanted.service = pending->record.service;
                     auto const given =
                         host.node()->discover(wanted, host.now());
                     parts_.network.send(
                         host.name().value(), callers_endpoint,
                         [this, pending, attempt, given]
                         {
                             if (pending->ended || pending->tries != attempt)
                             {
                                 return;
                             }
                             if (!given || given.value().hosts.empty())
                             {
                                 find_hosts(pending);
                                 return;
                             }
                             auto& origin = *pending->origin;
                             origin.hosts.clear();
                             for (auto const& entry : given.value().hosts)
                             {
                                 origin.hosts.push_back(entry.name);
                             }
                             origin.expires =
                                 parts_.queue.now() + given.value().lifetime;
                             pending->next_host = 0;
                             try_next_host(pending);
                         });
                 });
}

void caller_fleet::try_next_host(call_ptr const& pending)
{
    if (pending->tries >= 2 * max_tries)
    {
        finish(pending, nullptr);
        return;
    }
    auto const& hosts = pending->origin->hosts;
    if (hosts.empty() || pending->next_host >= hosts.size())
    {
        pending->origin->expires = {};
        pending->next_host = 0;
        find_hosts(pending);
        return;
    }
    auto const found = parts_.hosts.find(hosts[pending->next_host++]);
    ++pending->tries;
    if (found == parts_.hosts.end())
    {
        finish(pending, nullptr);
        return;
    }
    auto& host = *found->second;
    pending->last_host = &host;
    send_to_host(pending, host,
                 [this, pending, &host] { send_request(pending, host); });
}

void caller_fleet::send_request(call_ptr const& pending, host_driver& host)
{
    if (pending->ended)
    {
        return;
    }
    if (pending->once && pending->request_id.empty())
    {
        obtain_request_id(pending, host);
        return;
    }
    submit(pending, host);
}

void caller_fleet::obtain_request_id(call_ptr const& pending, host_driver& host)
{
    auto const id = host.node()->issue_request_id(host.now());
    auto const attempt = pending->tries;
    parts_.network.send(host.name().value(), callers_endpoint,
                        [this, pending, id, attempt, &host]
                        {
                            if (pending->ended || pending->tries != attempt)
                            {
                                return;
                            }
                            if (!id)
                            {
                                try_next_host(pending);
                                return;
                            }
                            pending->request_id = id.value();
                            send_to_host(pending, host,
                                         [this, pending, &host]
                                         { send_request(pending, host); });
                        });
}

void caller_fleet::submit(call_ptr const& pending, host_driver& host)
{
    auto request = make_request(pending, host);
    if (pending->once)
    {
        if (!request.once)
        {
            return;
        }
        if (random_.unit() < duplicate_share)
        {
            send_duplicate(pending, host);
        }
    }
    bool const fresh = parts_.queue.now() < pending->origin->expires;
    host.submit(std::move(request), pending->key, pending->request_id, fresh,
                [this, pending, attempt = pending->tries](auto const& answer)
                {
                    if (!pending->ended && pending->tries == attempt)
                    {
                        on_answer(pending, answer);
                    }
                });
}

caller_request caller_fleet::make_request(call_ptr const& pending,
                                          host_driver& host)
{
    caller_request request;
    request.service = pending->record.service;
    request.caller = caller_name{"scenario"};
    request.key = std::to_string(pending->key);
    request.body = std::make_shared<std::string const>(request.key);
    if (pending->once)
    {
        auto const id = host.node()->decode_request_id(pending->request_id);
        if (id)
        {
            request.once = id.value();
        }
    }
    return request;
}

void caller_fleet::send_duplicate(call_ptr const& pending, host_driver& host)
{
    auto const deliver_duplicate =
        [this, pending, &host, id = pending->request_id]
    {
        auto request = make_request(pending, host);
        if (pending->request_id != id || !request.once)
        {
            return;
        }
        host.submit(std::move(request), pending->key, id, false,
                    [this, id](auto const& answer)
                    { record_not_run(id, answer); });
    };
    auto const wait = duration(static_cast<duration::rep>(
        random_.unit() * static_cast<double>(max_duplicate_delay.count())));
    parts_.queue.after(wait,
                       [this, &host, deliver_duplicate]
                       {
                           parts_.network.send(
                               callers_endpoint, host.name().value(),
                               [&host, deliver_duplicate]
                               { host.deliver(deliver_duplicate); });
                       });
}

void caller_fleet::record_not_run(std::string const& id,
                                  request_answer const& answer)
{
    if (answer.failed && answer.state == run_state::not_run)
    {
        parts_.log.not_runs.push_back({parts_.queue.now(), id});
    }
}

void caller_fleet::query_outcome(call_ptr const& pending)
{
    auto& host = *pending->last_host;
    auto const ask = [this, pending, &host]
    {
        auto const id = host.node()->decode_request_id(pending->request_id);
        if (!id)
        {
            return;
        }
        auto const known = host.node()->outcome_of(id.value(), host.now());
        if (known && known.value().state == request_state::not_run)
        {
            parts_.log.not_runs.push_back(
                {parts_.queue.now(), pending->request_id});
        }
    };
    parts_.queue.after(outcome_query_delay,
                       [this, &host, ask]
                       {
                           parts_.network.send(
                               callers_endpoint, host.name().value(),
                               [&host, ask] { host.deliver(ask); });
                       });
}

void caller_fleet::on_answer(call_ptr const& pending,
                             request_answer const& answer)
{
    if (pending->once && answer.failed && answer.state == run_state::not_run)
    {
        record_not_run(pending->request_id, answer);
        // The request was certainly not executed, so it may be retried under a
        // new id.
        pending->request_id.clear();
    }
    if (answer.failed && is_retriable_elsewhere(answer.failed->kind))
    {
        parts_.queue.after(retry_delay,
                           [this, pending] { try_next_host(pending); });
        return;
    }
    finish(pending, &answer);
}

void caller_fleet::on_no_answer(call_ptr const& pending, std::uint32_t attempt)
{
    if (!pending->ended && pending->tries == attempt)
    {
        try_next_host(pending);
    }
}

void caller_fleet::finish(call_ptr const& pending, request_answer const* answer)
{
    pending->ended = true;
    if (pending->once && pending->last_host != nullptr &&
        !pending->request_id.empty() && (answer == nullptr || answer->failed))
    {
        query_outcome(pending);
    }
    auto& record = pending->record;
    record.ended = parts_.queue.now();
    record.lost = answer == nullptr;
    if (answer != nullptr)
    {
        if (answer->failed)
        {
            record.failed = answer->failed->kind;
        }
        record.state = answer->state;
        record.coverage = answer->coverage;
        record.sends = answer->sends;
        record.hedges = answer->hedges;
    }
    parts_.log.callers.push_back(record);
}

} // namespace kumquatramp::scenarios
