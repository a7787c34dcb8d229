// Non-blocking reads and writes with one deadline per exchange.
#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <cstring>
#include <ctime>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <transport/socket_stream.hpp>

namespace kumquatramp
{

namespace
{

constexpr std::size_t receive_buffer_bytes = 16'384;

void read_address(sockaddr_storage const& address, std::string& ip, int& port)
{
    std::array<char, INET6_ADDRSTRLEN> text{};
    if (address.ss_family == AF_INET)
    {
        sockaddr_in v4{};
        std::memcpy(&v4, &address, sizeof v4);
        ::inet_ntop(AF_INET, &v4.sin_addr, text.data(), text.size());
        port = ntohs(v4.sin_port);
    }
    else if (address.ss_family == AF_INET6)
    {
        sockaddr_in6 v6{};
        std::memcpy(&v6, &address, sizeof v6);
        ::inet_ntop(AF_INET6, &v6.sin6_addr, text.data(), text.size());
        port = ntohs(v6.sin6_port);
    }
    ip = text.data();
}

timespec to_timespec(duration left)
{
    auto const seconds = std::chrono::duration_cast<std::chrono::seconds>(left);
    return {static_cast<time_t>(seconds.count()),
            static_cast<long>((left - seconds).count())};
}

} // namespace

socket_stream::socket_stream(int socket, clock const& time,
                             stream_limits limits)
    : socket_(socket)
    , time_(time)
    , limits_(limits)
{
}

void socket_stream::begin(time_point deadline)
{
    deadline_ = deadline;
    pending_.clear();
    bytes_read_ = 0;
    line_length_ = 0;
    head_lines_ = 0;
    in_head_ = true;
    end_ = stream_end::none;
}

bool socket_stream::fail(stream_end reason)
{
    end_ = reason;
    return false;
}

bool socket_stream::wait(short events)
{
    for (;;)
    {
        auto const left = deadline_ - time_.now();
        if (left <= 0ns)
        {
            return fail(stream_end::timed_out);
        }
        pollfd wait{socket_, events, 0};
        auto const timeout = to_timespec(std::min<duration>(left, 1h));
        ::ppoll(&wait, 1, &timeout, nullptr);
        if (wait.revents != 0)
        {
            return true;
        }
    }
}

bool socket_stream::flush()
{
    if (pending_.empty())
    {
        return true;
    }
    if (end_ != stream_end::none)
    {
        return false;
    }
    std::size_t done = 0;
    while (done < pending_.size())
    {
        auto const left = pending_.size() - done;
        auto const count =
            ::send(socket_, pending_.data() + done, left, MSG_NOSIGNAL);
        if (count > 0)
        {
            done += static_cast<std::size_t>(count);
        }
        else if (errno == EAGAIN || errno == EWOULDBLOCK)
        {
            if (!wait(POLLOUT))
            {
                return false;
            }
        }
        else if (errno != EINTR)
        {
            return fail(stream_end::closed);
        }
    }
    pending_.clear();
    return true;
}

bool socket_stream::finish(time_point deadline)
{
    deadline_ = deadline;
    end_ = stream_end::none;
    return flush();
}

bool socket_stream::fill_buffer()
{
    if (!flush() || end_ != stream_end::none)
    {
        return false;
    }
    buffer_.resize(receive_buffer_bytes);
    position_ = buffer_.size();
    for (;;)
    {
        auto const count = ::recv(socket_, buffer_.data(), buffer_.size(), 0);
        if (count > 0)
        {
            buffer_.resize(static_cast<std::size_t>(count));
            position_ = 0;
            return true;
        }
        bool const again = count < 0 && (errno == EAGAIN || errno == EINTR);
        if (!again)
        {
            return fail(stream_end::closed);
        }
        if (!wait(POLLIN))
        {
            return false;
        }
    }
}

// Counts the bytes passed to cpp-httplib, and lines while in the message head.
bool socket_stream::check_limits(char const* data, std::size_t size)
{
    bytes_read_ += size;
    if (bytes_read_ > limits_.max_message_bytes)
    {
        return fail(stream_end::too_large);
    }
    for (std::size_t i = 0; in_head_ && i < size; ++i)
    {
        if (data[i] != '\n')
        {
            line_length_ += data[i] == '\r' ? 0 : 1;
            continue;
        }
        in_head_ = line_length_ != 0;
        line_length_ = 0;
        ++head_lines_;
    }
    bool const head_too_large =
        in_head_ && (bytes_read_ > limits_.max_head_bytes ||
                     head_lines_ > limits_.max_head_lines);
    return !head_too_large || fail(stream_end::too_large);
}

ssize_t socket_stream::read(char* data, size_t size)
{
    if (!has_unread() && !fill_buffer())
    {
        return end_ == stream_end::closed ? 0 : -1;
    }
    auto const count = std::min(size, buffer_.size() - position_);
    std::memcpy(data, buffer_.data() + position_, count);
    position_ += count;
    return check_limits(data, count) ? static_cast<ssize_t>(count) : -1;
}

ssize_t socket_stream::write(char const* data, size_t size)
{
    pending_.append(data, size);
    return static_cast<ssize_t>(size);
}

bool socket_stream::is_readable() const
{
    return true;
}

bool socket_stream::is_writable() const
{
    return end_ == stream_end::none;
}

void socket_stream::get_remote_ip_and_port(std::string& ip, int& port) const
{
    sockaddr_storage address{};
    socklen_t size = sizeof address;
    if (::getpeername(socket_, reinterpret_cast<sockaddr*>(&address), &size) ==
        0)
    {
        read_address(address, ip, port);
    }
}

void socket_stream::get_local_ip_and_port(std::string& ip, int& port) const
{
    sockaddr_storage address{};
    socklen_t size = sizeof address;
    if (::getsockname(socket_, reinterpret_cast<sockaddr*>(&address), &size) ==
        0)
    {
        read_address(address, ip, port);
    }
}

} // namespace kumquatramp
