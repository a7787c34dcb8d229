// Distributes request ids over the shards of the ledger.
#include <details/ledger_shard.hpp>
#include <requests/request_ledger.hpp>
#include <utility>

namespace kumquatramp
{

namespace
{

constexpr std::size_t shard_count = 8;

std::size_t per_shard(std::size_t total)
{
    return (total + shard_count - 1) / shard_count;
}

} // namespace

request_ledger::request_ledger(host_name host, incarnation life,
                               ledger_options options)
    : host_(std::move(host))
    , life_(life)
{
    details::shard_options const per_shard_options{
        per_shard(options.capacity), per_shard(options.response_bytes),
        options.unused_lifetime, options.outcome_retention};
    for (std::size_t i = 0; i < shard_count; ++i)
    {
        shards_.push_back(
            std::make_unique<details::ledger_shard>(per_shard_options));
    }
}

request_ledger::~request_ledger() = default;

details::ledger_shard& request_ledger::shard_of(std::uint64_t sequence) const
{
    return *shards_[sequence % shard_count];
}

bool request_ledger::issued_here(request_id const& id) const
{
    return id.host == host_ && id.life == life_;
}

result<request_id> request_ledger::issue(time_point now)
{
    // Successive sequence numbers map to successive shards, so that the id
    // can be issued from another shard if one is full.
    for (std::size_t i = 0; i < shard_count; ++i)
    {
        auto const sequence = next_sequence_.fetch_add(1);
        if (shard_of(sequence).add(sequence, now))
        {
            return request_id{host_, life_, sequence};
        }
    }
    return failure(error_kind::overloaded, "too many request ids are in use");
}

result<void> request_ledger::admit(request_id const& id, time_point now)
{
    if (!issued_here(id))
    {
        return failure(error_kind::foreign_request_id,
                       "the request id was issued by host '" + id.host.value() +
                           "'");
    }
    if (id.sequence >= next_sequence_.load())
    {
        return failure(error_kind::invalid_request_id,
                       "the request id was never issued");
    }
    return shard_of(id.sequence).admit(id.sequence, now);
}

bool request_ledger::begin_send(request_id const& id, time_point /*now*/)
{
    return issued_here(id) && shard_of(id.sequence).begin_send(id.sequence);
}

void request_ledger::return_unsent(request_id const& id)
{
    if (issued_here(id))
    {
        shard_of(id.sequence).return_unsent(id.sequence);
    }
}

void request_ledger::finish_ran(request_id const& id, std::string response,
                                time_point now)
{
    finish(id, {request_state::ran, {}, std::move(response)}, now);
}

void request_ledger::finish_not_run(request_id const& id, error_kind why,
                                    time_point now)
{
    finish(id, {request_state::not_run, why, {}}, now);
}

void request_ledger::finish_unknown(request_id const& id, error_kind why,
                                    time_point now)
{
    finish(id, {request_state::unknown, why, {}}, now);
}

void request_ledger::finish(request_id const& id, request_outcome outcome,
                            time_point now)
{
    if (issued_here(id))
    {
        shard_of(id.sequence).finish(id.sequence, std::move(outcome), now);
    }
}

bool request_ledger::cancel(request_id const& id, time_point now)
{
    return issued_here(id) && shard_of(id.sequence).cancel(id.sequence, now);
}

request_outcome request_ledger::outcome(request_id const& id,
                                        time_point now) const
{
    if (!issued_here(id))
    {
        return {request_state::unknown, error_kind::foreign_request_id, {}};
    }
    return shard_of(id.sequence).outcome(id.sequence, now);
}

void request_ledger::expire(time_point now)
{
    for (auto const& shard : shards_)
    {
        shard->expire(now);
    }
}

std::size_t request_ledger::size() const
{
    std::size_t sum = 0;
    for (auto const& shard : shards_)
    {
        sum += shard->size();
    }
    return sum;
}

} // namespace kumquatramp
