// The catalogue of services and targets that the platform publishes.
#ifndef KUMQUATRAMP_CONFIG_CATALOGUE_HPP
#define KUMQUATRAMP_CONFIG_CATALOGUE_HPP

#include <boost/outcome.hpp>
#include <config/service_entry.hpp>
#include <config/target_entry.hpp>
#include <rules/rule_fault.hpp>
#include <string_view>
#include <vector>

namespace kumquatramp
{

/// The parsed catalogue. Each line holds one entry; "#" starts a comment:
///
///     service stock-finder run idempotent shards 10 map 1
///     service booking-desk run once shards 15 map 1
///     target sf-0-osu service stock-finder availability_zone osu
///         address 127.0.0.1:9100 slots 4 connections 80 connect_cost 6ms
///         state live holds 1/0        (all on one line; holds MAP/SHARD,
///                                      repeated with commas: 1/0,2/7)
struct catalogue
{
    std::vector<service_entry> services;
    std::vector<target_entry> targets;
};

/// Parses a catalogue. Returns it, or its faults in order of their lines:
/// unknown words, targets of unknown services, shards outside their map,
/// duplicate names, zero slots or connections, invalid addresses. At most
/// max_listed_faults are returned.
boost::outcome_v2::unchecked<catalogue, std::vector<rule_fault>>
parse_catalogue(std::string_view text);

} // namespace kumquatramp

#endif
