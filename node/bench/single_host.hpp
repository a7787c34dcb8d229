// One node with targets that answer immediately, to benchmark the node alone.
#ifndef KUMQUATRAMP_NODE_BENCH_SINGLE_HOST_HPP
#define KUMQUATRAMP_NODE_BENCH_SINGLE_HOST_HPP

#include <base/seeded_random.hpp>
#include <cstdint>
#include <memory>
#include <node/node.hpp>
#include <string>

namespace kumquatramp
{

/// Hosts services of `shards` shards with three replicas each, enough of them
/// for `targets` targets; the member list has `hosts` entries.
class single_host
{
public:
    single_host(std::uint32_t targets, std::uint32_t shards,
                std::uint32_t hosts);

    /// Serves queries for long enough to warm all targets of the first service.
    void warm_up();

    /// Runs one query over all shards of the first service: submission,
    /// may_send() checks, replies, merging and answer. Returns its coverage.
    double query();

    /// Passes in a new catalogue version with one changed line, as the platform
    /// sends it.
    void change_catalogue();

    /// Runs one membership round.
    void round();

    node& decisions() { return *node_; }
    time_point now() const { return now_; }

private:
    void carry_out(action_list& actions);
    std::string members_text() const;
    std::string catalogue_text(std::uint32_t slots_of_first) const;

    std::uint32_t const targets_;
    std::uint32_t const shards_;
    std::uint32_t const hosts_;
    seeded_random random_{1};
    std::unique_ptr<node> node_;
    time_point now_{};
    std::uint64_t version_ = 1;
    std::uint64_t next_query_ = 1;
    std::string catalogue_;
    std::string members_;
    std::shared_ptr<std::string const> body_;
    double last_coverage_ = 0;
    action_list actions_;
};

} // namespace kumquatramp

#endif
