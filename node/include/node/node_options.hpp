// Settings of a node.
#ifndef KUMQUATRAMP_NODE_NODE_OPTIONS_HPP
#define KUMQUATRAMP_NODE_NODE_OPTIONS_HPP

#include <base/ids.hpp>
#include <config/member_entry.hpp>
#include <cstdint>
#include <membership/membership_options.hpp>
#include <requests/ledger_options.hpp>
#include <routing/replica_chooser.hpp>
#include <string>
#include <vector>

namespace kumquatramp
{

struct node_options
{
    member_entry self;
    incarnation life;      ///< drawn at random on each start
    std::string fleet_key; ///< secret shared by all hosts of a deployment
    membership_options membership;
    ledger_options ledger;
    /// Hosts to contact until the member list has been read; may be empty.
    std::vector<member_entry> seeds;

    std::uint32_t max_in_flight = 2000; ///< limit on concurrent caller requests

    choice_policy choice = choice_policy::expected_latency;

    /// How long a newly started host tries to reach its peers before it serves
    /// without having reached any.
    duration boot_time = 3s;

    /// How long a platform read may wait for a newer value.
    duration platform_wait = 500ms;

    /// Mean delay before a failed platform read is retried; jitter is applied.
    duration platform_retry = 500ms;
};

} // namespace kumquatramp

#endif
