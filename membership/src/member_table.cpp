// Public functions of the member table. They hold its mutex; the implementation
// is in details/.
#include <details/member_records.hpp>
#include <membership/member_table.hpp>

namespace kumquatramp
{

member_table::member_table(member_entry self, incarnation life,
                           membership_options const& options,
                           random_source& random)
    : state_(std::make_unique<state>(std::move(self), life, options, random))
{
}

member_table::~member_table() = default;

void member_table::apply_list(std::span<member_entry const> list,
                              time_point now)
{
    std::lock_guard const guard(mutex_);
    state_->apply_list(list, now);
}

void member_table::merge(peer_digest const& digest, time_point now)
{
    std::lock_guard const guard(mutex_);
    state_->merge(digest, now);
}

std::vector<heartbeat>
member_table::next_heartbeats(bool leaving, time_point now, bool answer)
{
    std::lock_guard const guard(mutex_);
    return state_->next_heartbeats(leaving, now, answer);
}

std::vector<member_entry> member_table::pick_peers(time_point now, bool urgent)
{
    std::lock_guard const guard(mutex_);
    return state_->pick_peers(now, urgent);
}

std::vector<member_state> member_table::members(time_point now) const
{
    std::lock_guard const guard(mutex_);
    return state_->members(now);
}

std::vector<member_entry> member_table::serving(time_point now) const
{
    std::lock_guard const guard(mutex_);
    return state_->serving(now);
}

std::uint32_t member_table::host_count(time_point now) const
{
    std::lock_guard const guard(mutex_);
    return state_->host_count(now);
}

bool member_table::is_reader(time_point now) const
{
    std::lock_guard const guard(mutex_);
    return state_->is_reader(now);
}

std::vector<member_entry> member_table::readers(time_point now) const
{
    std::lock_guard const guard(mutex_);
    return state_->readers(now);
}

std::optional<member_entry> member_table::find(host_name const& name) const
{
    std::lock_guard const guard(mutex_);
    return state_->find(name);
}

} // namespace kumquatramp
