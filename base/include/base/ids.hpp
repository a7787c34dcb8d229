// Id types shared by all libraries.
#ifndef KUMQUATRAMP_BASE_IDS_HPP
#define KUMQUATRAMP_BASE_IDS_HPP

#include <base/strong_type.hpp>
#include <cstdint>
#include <string>

namespace kumquatramp
{

using host_name = strong_type<struct host_name_tag, std::string>;
using zone_name = strong_type<struct zone_name_tag, std::string>;
using service_name = strong_type<struct service_name_tag, std::string>;
using target_name = strong_type<struct target_name_tag, std::string>;
using caller_name = strong_type<struct caller_name_tag, std::string>;

/// Random number that a host generates at each start; distinguishes processes
/// that were started under the same host name.
using incarnation = strong_type<struct incarnation_tag, std::uint64_t>;

/// Version of a value stored on the platform; increases monotonically.
using config_version = strong_type<struct config_version_tag, std::uint64_t>;

/// Position of a shard in its service's shard map.
using shard_index = strong_type<struct shard_index_tag, std::uint32_t>;

/// Sequence number of a caller's request within a host's incarnation.
using query_number = strong_type<struct query_number_tag, std::uint64_t>;

} // namespace kumquatramp

#endif
