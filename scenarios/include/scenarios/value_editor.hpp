// Builds the values that operators and the platform publish.
#ifndef KUMQUATRAMP_SCENARIOS_VALUE_EDITOR_HPP
#define KUMQUATRAMP_SCENARIOS_VALUE_EDITOR_HPP

#include <cstdint>
#include <map>
#include <scenarios/deployment.hpp>
#include <set>
#include <string>
#include <vector>

namespace kumquatramp::scenarios
{

/// The contents of the three published values (rules, catalogue and members),
/// and their serialized texts.
class value_editor
{
public:
    /// The deployment must outlive the editor.
    explicit value_editor(deployment const& sizes);

    /// Adds or removes a rule; `rule` has no trailing comment.
    void add_rule(std::string const& rule);
    void remove_rule(std::string const& rule);

    void set_leaving(target_name const& target, bool leaving);
    void set_leaving(host_name const& host, bool leaving);

    /// Adds the next shard map of the service and returns its version. Each
    /// target holds one shard of it, besides its shards of the earlier maps.
    std::uint64_t add_map(std::string const& service, std::uint32_t shards);

    /// Removes all shard maps except the latest.
    void drop_old_maps(std::string const& service);

    std::string rules() const;
    std::string catalogue() const;
    std::string members() const;

    std::map<std::uint64_t, std::uint32_t> const&
    maps(std::string const& service) const
    {
        return maps_.at(service);
    }

    /// The shard that a target holds in a map of `shards` shards.
    static std::uint32_t shard_in(target_size const& target,
                                  std::uint32_t shards);

private:
    deployment const& sizes_;
    std::vector<std::string> rules_;
    std::set<target_name> leaving_targets_;
    std::set<host_name> leaving_hosts_;
    // Number of shards by map version, by service.
    std::map<std::string, std::map<std::uint64_t, std::uint32_t>> maps_;
};

/// The membership entry of a host, as used both in the published list and in
/// the host's own settings.
std::string member_line(host_size const& host, std::size_t position,
                        bool leaving);

} // namespace kumquatramp::scenarios

#endif
