// The one buffer that sockets are read into.
#ifndef KUMQUATRAMP_EVENTLOOP_DETAILS_READ_BUFFER_HPP
#define KUMQUATRAMP_EVENTLOOP_DETAILS_READ_BUFFER_HPP

#include <array>

namespace kumquatramp::eventloop
{

/// Bytes live in it only within one step of the loop, so that idle
/// connections hold no buffer of their own.
inline std::array<char, 65536>& read_buffer()
{
    static thread_local std::array<char, 65536> buffer;
    return buffer;
}

} // namespace kumquatramp::eventloop

#endif
