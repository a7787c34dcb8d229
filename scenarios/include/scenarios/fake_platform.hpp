// Simulated configuration service of the platform.
#ifndef KUMQUATRAMP_SCENARIOS_FAKE_PLATFORM_HPP
#define KUMQUATRAMP_SCENARIOS_FAKE_PLATFORM_HPP

#include <array>
#include <base/ids.hpp>
#include <config/config_key.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <scenarios/event_queue.hpp>
#include <string>
#include <vector>

namespace kumquatramp::scenarios
{

/// The result of a successful read.
struct platform_answer
{
    config_version version;
    std::optional<std::string> text; ///< set if newer than the version held
};

/// Versioned values with long-poll reads; see docs/PROTOCOLS.md.
class fake_platform
{
public:
    /// Called with nullopt if the platform is unavailable.
    using reply = std::function<void(std::optional<platform_answer>)>;
    using on_visible =
        std::function<void(config_key, config_version, std::string const&)>;

    /// Calls `visible` once for each version, when readers can first see it.
    fake_platform(event_queue& queue, on_visible visible);

    /// Stores the text as the next version and returns that version.
    config_version put(config_key key, std::string text);

    /// The latest version, also if readers do not see it yet.
    config_version version(config_key key) const;
    std::string const& text(config_key key) const;

    /// Answers once a version newer than `held` is visible, or after `wait`;
    /// answers at once if the platform is unavailable.
    void read(config_key key, config_version held, duration wait, reply answer);

    /// Makes the platform unavailable, which fails pending reads, or available.
    void set_absent(bool absent);

    /// Serves each key that many versions behind the latest, but at least
    /// version 1.
    void set_stale(std::uint64_t versions);

    std::uint64_t calls() const noexcept { return calls_; }

private:
    struct watch
    {
        config_key key;
        config_version held;
        reply answer; ///< empty once called
    };

    std::size_t visible_count(config_key key) const;
    platform_answer answer_for(config_key key, config_version held) const;
    void notify_watches();
    void report_visible();

    event_queue& queue_;
    on_visible visible_;
    // By key: the texts of versions 1, 2, ..., and the number of versions that
    // were reported to `visible_`.
    std::array<std::vector<std::string>, all_config_keys.size()> texts_;
    std::array<std::size_t, all_config_keys.size()> announced_{};
    std::vector<std::shared_ptr<watch>> watches_;
    bool absent_ = false;
    std::uint64_t stale_ = 0;
    std::uint64_t calls_ = 0;
};

} // namespace kumquatramp::scenarios

#endif
