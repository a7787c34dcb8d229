// Merges the parts of a scattered query.
#ifndef KUMQUATRAMP_SERVING_PART_MERGE_HPP
#define KUMQUATRAMP_SERVING_PART_MERGE_HPP

#include <cstddef>
#include <span>
#include <string>

namespace kumquatramp::serving
{

/// Bytes of one record of a part.
inline constexpr std::size_t record_bytes = 16;

/// The greatest `count` records of all parts, greatest first, compared byte
/// by byte; equal records all count. A remainder shorter than a record is no
/// record.
std::string merge_parts(std::span<std::string const* const> parts,
                        std::size_t count);

} // namespace kumquatramp::serving

#endif
