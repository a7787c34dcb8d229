// Rendezvous (highest random weight) hashing, based on xxHash.
#ifndef KUMQUATRAMP_BASE_RENDEZVOUS_HPP
#define KUMQUATRAMP_BASE_RENDEZVOUS_HPP

#include <cstdint>
#include <string_view>

namespace kumquatramp
{

/// Weight of a candidate for a key. The candidate with the highest weight owns
/// the key. Weights are 64-bit hashes, so that ties between different names are
/// negligible.
std::uint64_t rendezvous_weight(std::string_view key,
                                std::string_view candidate) noexcept;

/// Unseeded 64-bit hash of a text; the same on every host.
std::uint64_t stable_hash(std::string_view text) noexcept;

} // namespace kumquatramp

#endif
