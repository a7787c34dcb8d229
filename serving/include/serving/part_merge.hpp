// Merges the partial results of a scatter-gather query.
#ifndef KUMQUATRAMP_SERVING_PART_MERGE_HPP
#define KUMQUATRAMP_SERVING_PART_MERGE_HPP

#include <cstddef>
#include <span>
#include <string>

namespace kumquatramp::serving
{

/// Size of one record of a partial result, in bytes.
inline constexpr std::size_t record_bytes = 16;

/// Returns the greatest `count` records of all parts in descending order,
/// compared byte by byte. Equal records are all kept; trailing bytes shorter
/// than a record are ignored.
std::string merge_parts(std::span<std::string const* const> parts,
                        std::size_t count);

} // namespace kumquatramp::serving

#endif
