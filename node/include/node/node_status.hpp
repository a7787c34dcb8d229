// Status of a node, for operators.
#ifndef KUMQUATRAMP_NODE_NODE_STATUS_HPP
#define KUMQUATRAMP_NODE_NODE_STATUS_HPP

#include <base/ids.hpp>
#include <base/snapshot_id.hpp>
#include <base/time.hpp>
#include <config/config_stamp.hpp>
#include <config/refused_config.hpp>
#include <cstdint>
#include <limits/gate_status.hpp>
#include <membership/member_state.hpp>
#include <membership/shutdown_sequence.hpp>
#include <string>
#include <vector>

namespace kumquatramp
{

struct target_status
{
    target_name name;
    service_name service;
    zone_name zone;
    std::string address;
    std::string closed_by; ///< "platform", "rule" or "subset"; else empty
    gate_status gate;
};

struct service_status
{
    service_name name;
    bool idempotent = true;
    std::uint32_t queued = 0;
    snapshot_id snapshot; ///< the one that new queries request
};

struct node_status
{
    member_entry self;
    incarnation life;
    shutdown_phase phase = shutdown_phase::serving;
    bool booted = false;
    bool view_valid = false;
    duration view_age = duration::max();
    bool platform_reader = false;
    std::uint32_t in_flight = 0;
    std::vector<keyed_stamp> stamps;
    std::vector<refused_config> refused;
    std::vector<member_state> members;
    std::vector<service_status> services;
    std::vector<target_status> targets;
};

} // namespace kumquatramp

#endif
