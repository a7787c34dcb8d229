// Rendezvous hashing based on XXH3.
#include <base/rendezvous.hpp>
#include <xxhash.h>

namespace kumquatramp
{

std::uint64_t rendezvous_weight(std::string_view key,
                                std::string_view candidate) noexcept
{
    return XXH3_64bits_withSeed(candidate.data(), candidate.size(),
                                stable_hash(key));
}

std::uint64_t stable_hash(std::string_view text) noexcept
{
    return XXH3_64bits(text.data(), text.size());
}

} // namespace kumquatramp
