// Byte stream through which cpp-httplib reads and writes HTTP messages.
#ifndef KUMQUATRAMP_TRANSPORT_SOCKET_STREAM_HPP
#define KUMQUATRAMP_TRANSPORT_SOCKET_STREAM_HPP

#include <base/clock.hpp>
#include <base/time.hpp>
#include <cstddef>
#include <httplib.h>
#include <string>
#include <transport/stream_limits.hpp>
#include <vector>

namespace kumquatramp
{

/// Why a stream stopped working.
enum class stream_end : std::uint8_t
{
    none,      ///< still working
    closed,    ///< the peer closed or reset the connection
    timed_out, ///< the deadline passed
    too_large, ///< the message exceeded the limits
};

/// HTTP exchanges over a non-blocking socket that the stream does not own.
/// Unlike cpp-httplib's own stream it has one deadline for the whole exchange,
/// so that a client that sends slowly is disconnected; it limits the size of
/// head and body; and it buffers written bytes until the message is complete.
class socket_stream final : public httplib::Stream
{
public:
    /// `time` must outlive the stream.
    socket_stream(int socket, clock const& time, stream_limits limits);

    /// Starts an exchange. Bytes already received are kept.
    void begin(time_point deadline);

    /// Sends the buffered output; false on failure. Reads flush implicitly.
    bool flush();

    /// Ends an exchange on the server side: sends the buffered output, also
    /// if the request exceeded the limits.
    bool finish(time_point deadline);

    /// Whether received bytes are buffered that have not been read yet.
    bool has_unread() const noexcept { return position_ < buffer_.size(); }

    stream_end end() const noexcept { return end_; }

    // httplib::Stream
    bool is_readable() const override;
    bool is_writable() const override;
    ssize_t read(char* data, size_t size) override;
    ssize_t write(char const* data, size_t size) override;
    void get_remote_ip_and_port(std::string& ip, int& port) const override;
    void get_local_ip_and_port(std::string& ip, int& port) const override;
    socket_t socket() const override { return socket_; }

private:
    bool fill_buffer();
    bool wait(short events);
    bool fail(stream_end reason);
    bool check_limits(char const* data, std::size_t size);

    int const socket_;
    clock const& time_;
    stream_limits const limits_;
    time_point deadline_{};
    std::vector<char> buffer_; // received bytes; read up to position_
    std::size_t position_ = 0;
    std::string pending_;         // output not sent yet
    std::size_t bytes_read_ = 0;  // bytes read in this exchange
    std::size_t line_length_ = 0; // of the current head line
    std::size_t head_lines_ = 0;
    bool in_head_ = true;
    stream_end end_ = stream_end::none;
};

} // namespace kumquatramp

#endif
