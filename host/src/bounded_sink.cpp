// Writes without blocking: checks with poll() that the descriptor is writable.
#include "bounded_sink.hpp"
#include <algorithm>
#include <cerrno>
#include <poll.h>
#include <unistd.h>

namespace kumquatramp::host
{

namespace
{

/// Buffered output; holds a few seconds of log lines of a busy host.
constexpr std::size_t max_buffer_bytes = 256UL * 1024;
/// A pipe that polls as writable accepts at least this much without blocking.
constexpr std::size_t max_write_bytes = 4096;

} // namespace

bounded_sink::bounded_sink(int fd)
    : fd_(fd)
{
}

bool bounded_sink::has_room(std::size_t size)
{
    if (buffer_.size() + size <= max_buffer_bytes)
    {
        return true;
    }
    ++dropped_;
    return false;
}

void bounded_sink::sink_it_(spdlog::details::log_msg const& message)
{
    buffer_.append(message.payload.data(), message.payload.size());
    buffer_ += '\n';
}

void bounded_sink::drain()
{
    std::size_t written = 0;
    while (written < buffer_.size())
    {
        pollfd ready{fd_, POLLOUT, 0};
        if (poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0)
        {
            break;
        }
        std::size_t const size =
            std::min(max_write_bytes, buffer_.size() - written);
        ssize_t const taken = write(fd_, buffer_.data() + written, size);
        if (taken <= 0)
        {
            break;
        }
        written += static_cast<std::size_t>(taken);
    }
    buffer_.erase(0, written);
}

} // namespace kumquatramp::host
