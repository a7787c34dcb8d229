// Round-robin over callers, with one FIFO queue for each caller.
#include <iterator>
#include <list>
#include <requests/request_queue.hpp>
#include <set>
#include <unordered_map>
#include <utility>

namespace kumquatramp
{

namespace
{

struct queued_request
{
    query_number number;
    time_point deadline;
};

// A caller may occupy up to this multiple of the free places, so that a caller
// with a long backlog always leaves room for the others.
constexpr std::size_t max_held_per_free_place = 4;

struct caller_queue
{
    caller_name caller;
    std::list<queued_request> requests; // never empty while listed
};

using caller_list = std::list<caller_queue>;

// Location of a queued request.
struct queue_position
{
    caller_list::iterator caller;
    std::list<queued_request>::iterator request;
};

} // namespace

struct request_queue::state
{
    explicit state(std::size_t max_requests)
        : capacity(max_requests)
    {
    }

    caller_list::iterator find_or_add_queue(caller_name const& caller);
    bool has_room_for(caller_name const& caller) const;
    bool insert(query_number number, caller_name const& caller,
                time_point deadline, bool at_head);
    void remove_at(queue_position const& from);

    std::size_t const capacity;
    caller_list callers; // the front caller is served next
    // One entry for each caller queue.
    std::unordered_map<caller_name, caller_list::iterator> by_caller;
    // One entry for each request.
    std::unordered_map<query_number, queue_position> by_number;
    std::set<std::pair<time_point, query_number>> deadlines;
};

caller_list::iterator
request_queue::state::find_or_add_queue(caller_name const& caller)
{
    auto const found = by_caller.find(caller);
    if (found != by_caller.end())
    {
        return found->second;
    }
    callers.push_back({caller, {}});
    auto const queue = std::prev(callers.end());
    by_caller.emplace(caller, queue);
    return queue;
}

bool request_queue::state::has_room_for(caller_name const& caller) const
{
    if (by_number.size() >= capacity)
    {
        return false;
    }
    auto const free = capacity - by_number.size();
    auto const found = by_caller.find(caller);
    auto const held =
        found == by_caller.end() ? 0 : found->second->requests.size();
    return held < max_held_per_free_place * free;
}

bool request_queue::state::insert(query_number number,
                                  caller_name const& caller,
                                  time_point deadline, bool at_head)
{
    if (by_number.contains(number))
    {
        return false;
    }
    auto const queue = find_or_add_queue(caller);
    auto& requests = queue->requests;
    auto const position = at_head ? requests.begin() : requests.end();
    auto const request = requests.insert(position, {number, deadline});
    by_number.emplace(number, queue_position{queue, request});
    deadlines.emplace(deadline, number);
    return true;
}

void request_queue::state::remove_at(queue_position const& from)
{
    auto const number = from.request->number;
    deadlines.erase({from.request->deadline, number});
    from.caller->requests.erase(from.request);
    if (from.caller->requests.empty())
    {
        by_caller.erase(from.caller->caller);
        callers.erase(from.caller);
    }
    by_number.erase(number);
}

request_queue::request_queue(std::size_t capacity)
    : state_(std::make_unique<state>(capacity))
{
}

request_queue::~request_queue() = default;

bool request_queue::push(query_number number, caller_name const& caller,
                         time_point deadline)
{
    std::lock_guard const guard(mutex_);
    return state_->has_room_for(caller) &&
           state_->insert(number, caller, deadline, false);
}

std::optional<query_number> request_queue::pop()
{
    std::lock_guard const guard(mutex_);
    auto& callers = state_->callers;
    if (callers.empty())
    {
        return std::nullopt;
    }
    auto const next_caller = callers.begin();
    callers.splice(callers.end(), callers, next_caller);
    auto const number = next_caller->requests.front().number;
    state_->remove_at({next_caller, next_caller->requests.begin()});
    return number;
}

void request_queue::put_back(query_number number, caller_name const& caller,
                             time_point deadline)
{
    std::lock_guard const guard(mutex_);
    state_->insert(number, caller, deadline, true);
}

bool request_queue::remove(query_number number)
{
    std::lock_guard const guard(mutex_);
    auto const found = state_->by_number.find(number);
    if (found == state_->by_number.end())
    {
        return false;
    }
    state_->remove_at(queue_position(found->second));
    return true;
}

std::vector<query_number> request_queue::expire(time_point now)
{
    std::lock_guard const guard(mutex_);
    std::vector<query_number> expired;
    auto& deadlines = state_->deadlines;
    while (!deadlines.empty() && deadlines.begin()->first <= now)
    {
        auto const number = deadlines.begin()->second;
        expired.push_back(number);
        state_->remove_at(queue_position(state_->by_number.at(number)));
    }
    return expired;
}

time_point request_queue::next_deadline() const
{
    std::lock_guard const guard(mutex_);
    auto const& deadlines = state_->deadlines;
    return deadlines.empty() ? never : deadlines.begin()->first;
}

std::size_t request_queue::size() const
{
    std::lock_guard const guard(mutex_);
    return state_->by_number.size();
}

} // namespace kumquatramp
