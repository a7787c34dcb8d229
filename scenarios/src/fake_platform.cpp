// Simulated configuration service of the platform.
#include <algorithm>
#include <scenarios/fake_platform.hpp>

namespace kumquatramp::scenarios
{

namespace
{

std::size_t position(config_key key)
{
    return static_cast<std::size_t>(key);
}

} // namespace

fake_platform::fake_platform(event_queue& queue, on_visible visible)
    : queue_(queue)
    , visible_(std::move(visible))
{
}

config_version fake_platform::put(config_key key, std::string text)
{
    texts_[position(key)].push_back(std::move(text));
    notify_watches();
    return version(key);
}

config_version fake_platform::version(config_key key) const
{
    return config_version{texts_[position(key)].size()};
}

std::string const& fake_platform::text(config_key key) const
{
    return texts_[position(key)].back();
}

void fake_platform::read(config_key key, config_version held, duration wait,
                         reply answer)
{
    ++calls_;
    if (absent_)
    {
        answer(std::nullopt);
        return;
    }
    auto const now = answer_for(key, held);
    if (now.text || wait <= duration::zero())
    {
        answer(now);
        return;
    }
    auto const waiting =
        std::make_shared<watch>(watch{key, held, std::move(answer)});
    watches_.push_back(waiting);
    queue_.after(wait,
                 [this, waiting]
                 {
                     if (auto const reply = std::move(waiting->answer))
                     {
                         waiting->answer = nullptr;
                         reply(answer_for(waiting->key, waiting->held));
                     }
                     std::erase(watches_, waiting);
                 });
}

void fake_platform::set_absent(bool absent)
{
    absent_ = absent;
    notify_watches();
}

void fake_platform::set_stale(std::uint64_t versions)
{
    stale_ = versions;
    notify_watches();
}

std::size_t fake_platform::visible_count(config_key key) const
{
    auto const count = texts_[position(key)].size();
    return count == 0
               ? 0
               : std::max<std::size_t>(
                     1, count - std::min<std::size_t>(stale_, count - 1));
}

platform_answer fake_platform::answer_for(config_key key,
                                          config_version held) const
{
    auto const count = visible_count(key);
    platform_answer answer{config_version{count}, std::nullopt};
    if (answer.version > held)
    {
        answer.text = texts_[position(key)][count - 1];
    }
    return answer;
}

void fake_platform::notify_watches()
{
    report_visible();
    for (auto const& waiting : std::vector(watches_))
    {
        auto const answer = answer_for(waiting->key, waiting->held);
        if (!waiting->answer || (!absent_ && !answer.text))
        {
            continue;
        }
        auto const reply = std::move(waiting->answer);
        waiting->answer = nullptr;
        reply(absent_ ? std::nullopt : std::optional(answer));
    }
}

void fake_platform::report_visible()
{
    for (auto const key : all_config_keys)
    {
        auto& announced = announced_[position(key)];
        while (!absent_ && announced < visible_count(key))
        {
            ++announced;
            visible_(key, config_version{announced},
                     texts_[position(key)][announced - 1]);
        }
    }
}

} // namespace kumquatramp::scenarios
