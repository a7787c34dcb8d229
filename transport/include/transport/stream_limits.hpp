// Size limits of a received HTTP message.
#ifndef KUMQUATRAMP_TRANSPORT_STREAM_LIMITS_HPP
#define KUMQUATRAMP_TRANSPORT_STREAM_LIMITS_HPP

#include <cstddef>

namespace kumquatramp
{

struct stream_limits
{
    std::size_t max_head_bytes = std::size_t{16} * 1024;
    std::size_t max_head_lines = 64;
    std::size_t max_message_bytes = std::size_t{1040} * 1024;
};

} // namespace kumquatramp

#endif
