// Composes deltas over a list of segments.
#include <algorithm>
#include <details/delta_composer.hpp>
#include <iterator>
#include <limits>
#include <utility>

namespace kumquatramp::details
{

namespace
{

constexpr std::size_t unbounded_count =
    std::numeric_limits<std::size_t>::max() / 2;

} // namespace

delta_composer::delta_composer()
{
    segments_.push_back({0, unbounded_count, {}});
}

delta_composer::segment delta_composer::take_front(segment& from,
                                                   std::size_t count)
{
    segment front{from.first, count, {}};
    if (!from.added.empty())
    {
        auto const end =
            from.added.begin() + static_cast<std::ptrdiff_t>(count);
        front.added.assign(std::make_move_iterator(from.added.begin()),
                           std::make_move_iterator(end));
        from.added.erase(from.added.begin(), end);
    }
    else
    {
        from.first += count;
    }
    from.count -= count;
    return front;
}

void delta_composer::append(std::vector<line_edit> const& edits)
{
    std::vector<segment> next;
    std::size_t position = 0; // line in the text to which the edits apply
    std::size_t index = 0;
    auto const advance = [&](std::size_t line, bool keep)
    {
        while (position < line)
        {
            auto& front = segments_[index];
            auto const count = std::min(front.count, line - position);
            auto part = take_front(front, count);
            position += count;
            index += front.count == 0 ? 1 : 0;
            if (keep)
            {
                next.push_back(std::move(part));
            }
        }
    };
    for (auto const& edit : edits)
    {
        advance(edit.first, true);
        if (!edit.added.empty())
        {
            next.push_back({0, edit.added.size(), edit.added});
        }
        advance(std::size_t{edit.first} + edit.removed, false);
    }
    for (; index < segments_.size(); ++index)
    {
        next.push_back(std::move(segments_[index]));
    }
    segments_ = std::move(next);
}

std::vector<line_edit> delta_composer::compose() const
{
    std::vector<line_edit> edits;
    line_edit pending;
    std::size_t position = 0; // line in the first text
    for (auto const& part : segments_)
    {
        if (!part.added.empty())
        {
            pending.added.insert(pending.added.end(), part.added.begin(),
                                 part.added.end());
            continue;
        }
        pending.first = static_cast<std::uint32_t>(position);
        pending.removed = static_cast<std::uint32_t>(part.first - position);
        if (pending.removed > 0 || !pending.added.empty())
        {
            edits.push_back(std::exchange(pending, {}));
        }
        position = part.first + part.count;
    }
    return edits;
}

} // namespace kumquatramp::details
