// Receive buffer shared by all sockets of a thread.
#ifndef KUMQUATRAMP_EVENTLOOP_DETAILS_READ_BUFFER_HPP
#define KUMQUATRAMP_EVENTLOOP_DETAILS_READ_BUFFER_HPP

#include <array>

namespace kumquatramp::eventloop
{

/// The contents are valid only within one event loop callback. Sharing the
/// buffer means that idle connections need none of their own.
inline std::array<char, 65536>& read_buffer()
{
    static thread_local std::array<char, 65536> buffer;
    return buffer;
}

} // namespace kumquatramp::eventloop

#endif
