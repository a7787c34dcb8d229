// Simulated target.
#include <algorithm>
#include <cmath>
#include <scenarios/fake_target.hpp>

namespace kumquatramp::scenarios
{

namespace
{

// Delay between computing and sending a late answer.
constexpr duration late_answer_delay = 5s;

duration scaled(duration time, double factor)
{
    return duration(
        static_cast<duration::rep>(static_cast<double>(time.count()) * factor));
}

} // namespace

fake_target::fake_target(event_queue& queue, run_log& log, target_name name,
                         target_behaviour behaviour, std::uint64_t seed)
    : queue_(queue)
    , log_(log)
    , name_(std::move(name))
    , behaviour_(std::move(behaviour))
    , random_(seed)
    , served_(behaviour_.warm_after)
{
}

void fake_target::receive(target_call call)
{
    work_item work{std::move(call), {}};
    if (behaviour_.draining)
    {
        answer(work, attempt_outcome::draining);
        return;
    }
    auto const snapshot = resolve_snapshot(work.call);
    if (!snapshot)
    {
        answer(work, attempt_outcome::wrong_snapshot);
        return;
    }
    work.snapshot = *snapshot;
    bool const full = running_.size() >= slots();
    if (full && waiting_.size() >= behaviour_.queue)
    {
        answer(work, attempt_outcome::refused);
        return;
    }
    auto const in_flight =
        static_cast<std::uint32_t>(running_.size() + waiting_.size() + 1);
    log_.executions.push_back({queue_.now(), name_, work.call.id,
                               work.call.request_id, cold(), in_flight,
                               behaviour_.cold_slots});
    ++executed_;
    if (cold() && in_flight > behaviour_.cold_slots)
    {
        overrun_until_ = queue_.now() + behaviour_.overrun_time;
    }
    if (queue_.now() < overrun_until_)
    {
        answer(work, attempt_outcome::failed);
        return;
    }
    if (full)
    {
        waiting_.push_back(std::move(work));
        return;
    }
    start(std::move(work));
}

void fake_target::cancel(attempt_id const& id)
{
    auto const is = [&](work_item const& work) { return work.call.id == id; };
    auto const waiting = std::find_if(waiting_.begin(), waiting_.end(), is);
    if (waiting != waiting_.end())
    {
        answer(*waiting, attempt_outcome::cancelled);
        waiting_.erase(waiting);
        return;
    }
    for (auto const& [number, work] : running_)
    {
        if (is(work))
        {
            answer(work, attempt_outcome::cancelled);
            running_.erase(number);
            start_next();
            return;
        }
    }
}

void fake_target::restart()
{
    start_cold();
    ++generation_;
    connections_ = 0;
    running_.clear();
    waiting_.clear();
    overrun_until_ = {};
}

void fake_target::start_cold()
{
    served_ = 0;
}

bool fake_target::open_connection()
{
    auto& seen = log_.connections[name_];
    seen.limit = behaviour_.connections;
    seen.peak = std::max(seen.peak, connections_ + 1);
    if (connections_ >= behaviour_.connections)
    {
        return false;
    }
    ++connections_;
    return true;
}

void fake_target::close_connection(std::uint32_t generation)
{
    if (generation == generation_ && connections_ > 0)
    {
        --connections_;
    }
}

std::uint32_t fake_target::slots() const
{
    return cold() ? std::min(behaviour_.cold_slots, behaviour_.slots)
                  : behaviour_.slots;
}

std::optional<snapshot_id>
fake_target::resolve_snapshot(target_call const& call) const
{
    std::optional<snapshot_id> found;
    for (auto const& held : behaviour_.holds)
    {
        bool const newest =
            call.snapshot.index == 0 && held.map == call.snapshot.map;
        bool const any = call.snapshot == snapshot_id{};
        if (newest || any || held == call.snapshot)
        {
            found = held;
        }
    }
    auto const place =
        found ? behaviour_.places.find(found->map) : behaviour_.places.end();
    bool const here =
        place != behaviour_.places.end() && place->second == call.shard;
    return here ? found : std::nullopt;
}

void fake_target::start(work_item work)
{
    auto const number = next_number_++;
    auto const time = draw_service_time();
    running_.emplace(number, std::move(work));
    queue_.after(time, [this, number, generation = generation_]
                 { finish(number, generation); });
}

void fake_target::finish(std::uint64_t number, std::uint32_t generation)
{
    auto const found = running_.find(number);
    if (generation != generation_ || found == running_.end())
    {
        return;
    }
    auto const work = std::move(found->second);
    running_.erase(found);
    ++served_;
    answer(work, attempt_outcome::answered);
    start_next();
}

void fake_target::start_next()
{
    while (!waiting_.empty() && running_.size() < slots())
    {
        auto work = std::move(waiting_.front());
        waiting_.pop_front();
        bool const late = work.call.deadline <= queue_.now();
        if (late && work.call.request_id.empty())
        {
            answer(work, attempt_outcome::failed);
            continue;
        }
        start(std::move(work));
    }
}

void fake_target::answer(work_item const& work, attempt_outcome outcome)
{
    auto const& call = work.call;
    target_reply reply;
    reply.id = call.id;
    reply.outcome = outcome;
    reply.echoed = call.id;
    reply.shard = call.shard;
    reply.snapshot = work.snapshot;
    reply.holds = behaviour_.holds;
    if (outcome == attempt_outcome::answered)
    {
        reply.payload = call.body + "|" + std::to_string(call.shard.value()) +
                        "|" + std::to_string(work.snapshot.map) + "/" +
                        std::to_string(work.snapshot.index);
        inject_fault(reply);
    }
    auto const busy = static_cast<std::uint32_t>(running_.size());
    auto const queued = static_cast<std::uint32_t>(waiting_.size());
    switch (behaviour_.load)
    {
    case load_reporting::honest:
        reply.load = load_report{busy, queued};
        break;
    case load_reporting::idle:
        reply.load = load_report{0, 0};
        break;
    case load_reporting::busy:
        reply.load = load_report{behaviour_.slots, behaviour_.queue};
        break;
    case load_reporting::none:
        break;
    }
    bool const late = outcome == attempt_outcome::answered &&
                      behaviour_.fault == answer_fault::late &&
                      random_.unit() < behaviour_.fault_share;
    if (late)
    {
        queue_.after(late_answer_delay,
                     [answer = call.reply, reply] { answer(reply); });
        return;
    }
    call.reply(std::move(reply));
}

void fake_target::inject_fault(target_reply& reply)
{
    if (random_.unit() >= behaviour_.fault_share)
    {
        return;
    }
    switch (behaviour_.fault)
    {
    case answer_fault::malformed:
        reply.outcome = attempt_outcome::malformed;
        reply.payload.resize(reply.payload.size() / 2);
        break;
    case answer_fault::crossed:
        reply.echoed->query = query_number{reply.id.query.value() + 1};
        reply.payload = "0|0|1/1";
        break;
    case answer_fault::failed:
        reply.outcome = attempt_outcome::failed;
        break;
    case answer_fault::none:
    case answer_fault::late:
        break;
    }
}

duration fake_target::draw_service_time()
{
    auto const tail = -std::log1p(-random_.unit()); // exponential, mean 1
    auto time = scaled(behaviour_.service_time, 0.5 + 0.5 * tail);
    if (random_.unit() < behaviour_.straggle_share)
    {
        time = scaled(time, behaviour_.straggle_factor);
    }
    return cold() ? scaled(time, behaviour_.cold_factor) : time;
}

} // namespace kumquatramp::scenarios
