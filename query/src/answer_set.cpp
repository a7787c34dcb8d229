// Merges shard answers from one snapshot.
#include <query/answer_set.hpp>
#include <utility>

namespace kumquatramp
{

answer_set::answer_set(std::uint32_t shards, snapshot_id wanted)
    : snapshot_(wanted)
    , answers_(shards)
{
    for (std::uint32_t i = 0; i < shards; ++i)
    {
        answers_[i].shard = shard_index{i};
    }
}

merge_result answer_set::add(shard_index shard, snapshot_id of,
                             std::string payload)
{
    if (shard.value() >= answers_.size())
    {
        return merge_result::unknown_shard;
    }
    bool const open = snapshot_.index == 0 && of.map == snapshot_.map;
    if (!open && of != snapshot_)
    {
        return merge_result::other_snapshot;
    }
    auto& answer = answers_[shard.value()];
    if (answer.state == shard_state::answered)
    {
        return merge_result::duplicate;
    }
    snapshot_ = of;
    answer.state = shard_state::answered;
    answer.payload = std::move(payload);
    ++answered_;
    return merge_result::merged;
}

std::vector<shard_index> answer_set::reset_to(snapshot_id snapshot)
{
    std::vector<shard_index> dropped;
    if (snapshot == snapshot_ || snapshot.map != snapshot_.map)
    {
        return dropped;
    }
    for (auto& answer : answers_)
    {
        if (answer.state == shard_state::answered)
        {
            dropped.push_back(answer.shard);
            answer.payload.clear();
        }
        answer.state = shard_state::missing;
    }
    snapshot_ = snapshot;
    answered_ = 0;
    return dropped;
}

void answer_set::mark(shard_index shard, shard_state why)
{
    if (shard.value() < answers_.size() && !has(shard) &&
        why != shard_state::answered)
    {
        answers_[shard.value()].state = why;
    }
}

bool answer_set::has(shard_index shard) const
{
    return shard.value() < answers_.size() &&
           answers_[shard.value()].state == shard_state::answered;
}

std::uint32_t answer_set::shards() const noexcept
{
    return static_cast<std::uint32_t>(answers_.size());
}

bool answer_set::all_answered() const noexcept
{
    return answered_ == answers_.size();
}

double answer_set::coverage() const noexcept
{
    return answers_.empty() ? 0.0
                            : static_cast<double>(answered_) /
                                  static_cast<double>(answers_.size());
}

std::vector<shard_answer> answer_set::take()
{
    answered_ = 0;
    return std::exchange(answers_, {});
}

} // namespace kumquatramp
