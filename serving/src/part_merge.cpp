// Merges partial results by selecting the greatest records.
#include <algorithm>
#include <array>
#include <bit>
#include <cstdint>
#include <cstring>
#include <serving/part_merge.hpp>
#include <vector>

namespace kumquatramp::serving
{

namespace
{

/// A record read as two big-endian words, which compare like its bytes.
using key = std::array<std::uint64_t, 2>;

std::uint64_t swap_if_little_endian(std::uint64_t word)
{
    return std::endian::native == std::endian::little ? __builtin_bswap64(word)
                                                      : word;
}

key read_key(char const* bytes)
{
    key k;
    std::memcpy(k.data(), bytes, record_bytes);
    return {swap_if_little_endian(k[0]), swap_if_little_endian(k[1])};
}

} // namespace

std::string merge_parts(std::span<std::string const* const> parts,
                        std::size_t count)
{
    std::vector<key> keys;
    std::size_t total = 0;
    for (auto const* part : parts)
    {
        total += part->size() / record_bytes;
    }
    keys.reserve(total);
    for (auto const* part : parts)
    {
        for (std::size_t at = 0; at + record_bytes <= part->size();
             at += record_bytes)
        {
            keys.push_back(read_key(part->data() + at));
        }
    }
    std::size_t const kept = std::min(count, keys.size());
    std::partial_sort(keys.begin(),
                      keys.begin() + static_cast<std::ptrdiff_t>(kept),
                      keys.end(), std::greater<>{});
    std::string merged(kept * record_bytes, '\0');
    for (std::size_t i = 0; i < kept; ++i)
    {
        key const k{swap_if_little_endian(keys[i][0]),
                    swap_if_little_endian(keys[i][1])};
        std::memcpy(merged.data() + i * record_bytes, k.data(), record_bytes);
    }
    return merged;
}

} // namespace kumquatramp::serving
