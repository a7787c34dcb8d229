// The versioned values of the platform stand-in.
#include <algorithm>
#include <standins/platform/value_history.hpp>

namespace kumquatramp::standins
{

std::optional<std::uint64_t>
value_history::put(std::string const& key, std::string text,
                   std::optional<std::uint64_t> expected)
{
    std::lock_guard const guard(mutex_);
    auto& versions = texts_[key];
    if (expected && *expected != versions.size())
    {
        return std::nullopt;
    }
    versions.push_back(std::move(text));
    changed_.notify_all();
    return versions.size();
}

versioned_value value_history::wait_newer(std::string const& key,
                                          std::uint64_t after,
                                          std::chrono::milliseconds wait)
{
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, wait,
                      [&] { return closed_ || visible(key).version > after; });
    return visible(key);
}

void value_history::set_stale(std::uint64_t versions)
{
    std::lock_guard const guard(mutex_);
    versions_behind_ = versions;
    changed_.notify_all();
}

void value_history::close()
{
    std::lock_guard const guard(mutex_);
    closed_ = true;
    changed_.notify_all();
}

versioned_value value_history::visible(std::string const& key) const
{
    auto const found = texts_.find(key);
    if (found == texts_.end())
    {
        return {};
    }
    auto const& versions = found->second;
    auto const back =
        std::min<std::uint64_t>(versions_behind_, versions.size() - 1);
    auto const version = versions.size() - back;
    return {version, versions[version - 1]};
}

} // namespace kumquatramp::standins
