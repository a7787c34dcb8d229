// Bounded history of deltas.
#include <algorithm>
#include <details/delta_composer.hpp>
#include <details/delta_history.hpp>
#include <utility>

namespace kumquatramp::details
{

namespace
{

constexpr std::size_t max_steps = 64;
constexpr std::size_t max_history_bytes = 512'000;

} // namespace

std::size_t size_in_bytes(std::vector<line_edit> const& edits)
{
    std::size_t bytes = edits.size() * sizeof(line_edit);
    for (auto const& edit : edits)
    {
        for (auto const& line : edit.added)
        {
            bytes += sizeof(std::string) + line.size();
        }
    }
    return bytes;
}

void delta_history::add(config_stamp base, std::vector<line_edit> edits)
{
    auto const bytes = size_in_bytes(edits);
    steps_.push_back({base, std::move(edits), bytes});
    bytes_ += bytes;
    while (steps_.size() > max_steps || bytes_ > max_history_bytes)
    {
        bytes_ -= steps_.front().bytes;
        steps_.pop_front();
    }
}

std::optional<std::vector<line_edit>>
delta_history::since(config_stamp base) const
{
    auto const has_base = [base](step const& s) { return s.base == base; };
    auto const first = std::find_if(steps_.begin(), steps_.end(), has_base);
    if (first == steps_.end())
    {
        return std::nullopt;
    }
    delta_composer composer;
    std::for_each(first, steps_.end(),
                  [&composer](step const& s) { composer.append(s.edits); });
    return composer.compose();
}

} // namespace kumquatramp::details
