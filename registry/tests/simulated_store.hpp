// A store under virtual time that is sound, busy, silent or slow by turns.
#ifndef KUMQUATRAMP_REGISTRY_TESTS_SIMULATED_STORE_HPP
#define KUMQUATRAMP_REGISTRY_TESTS_SIMULATED_STORE_HPP

#include <base/random_source.hpp>
#include <optional>
#include <registry/store_item.hpp>
#include <registry/store_port.hpp>
#include <vector>

namespace kumquatramp::registry
{
class store_follower;
}

namespace kumquatramp::registry::testing
{

/// How the store treats calls.
enum class condition
{
    sound,
    busy,   ///< refuses each call
    silent, ///< answers nothing, later neither
};

/// One span of time with one condition.
struct phase
{
    condition what = condition::sound;
    time_point begin{};
    time_point end = never;
};

/// Revision r is the r-th change, whose key is r - 1. A waiting watch may be
/// cut after `cut_after()`, if set.
class simulated_store final : public store_port
{
public:
    simulated_store(std::vector<phase> phases, std::vector<time_point> changes,
                    random_source& random);

    void list(std::string const& after) override;
    void watch(std::uint64_t revision, duration wait) override;
    void cancel() override { call_.reset(); }

    /// Time at which the call in progress ends; `never` if there is none.
    time_point next_due() const { return call_ ? call_->ends : never; }
    /// Ends the call in progress if it is due at `now`.
    void run(store_follower& follower, time_point now);

    /// Revision at a time.
    std::uint64_t revision_at(time_point at) const;

    time_point now{}; ///< to be set before each call of the follower
    /// Bounds of the time after which a waiting watch is cut.
    std::optional<std::pair<duration, duration>> cut_after{};
    int calls = 0;

private:
    struct open_call
    {
        time_point ends = never;
        std::uint64_t revision = 0; ///< from which changes are returned
        std::optional<store_failure> failure{};
    };

    void start(duration wait, std::uint64_t revision);
    phase const& phase_at(time_point at) const;

    std::vector<phase> phases_;
    std::vector<time_point> changes_;
    random_source& random_;
    std::optional<open_call> call_;
};

} // namespace kumquatramp::registry::testing

#endif
