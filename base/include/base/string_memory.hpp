// Heap memory of strings.
#ifndef KUMQUATRAMP_BASE_STRING_MEMORY_HPP
#define KUMQUATRAMP_BASE_STRING_MEMORY_HPP

#include <cstddef>
#include <string>

namespace kumquatramp
{

/// Allocated bytes; 0 for a short string, which is stored in place.
inline std::size_t heap_bytes(std::string const& text)
{
    return text.capacity() > std::string().capacity() ? text.capacity() : 0;
}

/// Empties the string and frees its memory, which assigning an empty one does
/// not.
inline void free_memory(std::string& text)
{
    std::string().swap(text);
}

} // namespace kumquatramp

#endif
