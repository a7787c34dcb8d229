// A store under virtual time that can be away and come back from a copy.
#ifndef KUMQUATRAMP_REGISTRY_TESTS_RESTORABLE_STORE_HPP
#define KUMQUATRAMP_REGISTRY_TESTS_RESTORABLE_STORE_HPP

#include <base/time.hpp>
#include <optional>
#include <registry/store_item.hpp>
#include <registry/store_port.hpp>
#include <string>
#include <vector>

namespace kumquatramp::registry
{
class store_follower;
}

namespace kumquatramp::registry::testing
{

/// Items are listed in small pages; a watch returns all later changes. A call
/// in progress is cut when the store goes away; a call to a store that is away
/// fails at once.
class restorable_store final : public store_port
{
public:
    void list(std::string const& after) override;
    void watch(std::uint64_t revision, duration wait) override;
    void cancel() override { call_.reset(); }

    void put(std::string const& key, std::string const& value);
    void remove(std::string const& key);
    void go_away() { away_ = true; }
    void come_back() { away_ = false; }
    /// Loses the changes after `copied_at` and starts another era. Returns the
    /// lost changes.
    std::vector<store_item> restore(time_point copied_at);

    /// Ends the call in progress if it is due at `now`.
    void run(store_follower& follower);

    time_point now{}; ///< to be set before each call
    /// Whether answers state the era.
    bool states_era = true;

private:
    struct change
    {
        store_item item;
        time_point at;
    };
    struct open_call
    {
        bool listing = false;
        std::string after{};
        std::uint64_t revision = 0;
        time_point started{};
        time_point until{};
    };

    void write(store_item item);
    /// Nothing if the call goes on.
    std::optional<store_answer> answer(open_call const& call) const;
    std::optional<store_failure> failure(open_call const& call) const;

    std::vector<change> changes_; ///< the first one has revision 1
    std::uint64_t era_ = 1;
    bool away_ = false;
    std::optional<open_call> call_;
};

} // namespace kumquatramp::registry::testing

#endif
