// The byte stream that cpp-httplib reads and writes messages through.
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

/// Why a stream gave up.
enum class stream_end : std::uint8_t
{
    none,      ///< it has not
    closed,    ///< the other side closed or reset the connection
    timed_out, ///< the deadline passed
    too_large, ///< more bytes came than the limits allow
};

/// One HTTP exchange over a non-blocking socket that it does not own. Unlike
/// the library's own stream it has one deadline for the whole exchange, so
/// that a peer that trickles bytes is cut; it bounds head and body; and it
/// holds written bytes back until the message is whole.
class socket_stream final : public httplib::Stream
{
public:
    /// `time` must outlive the stream.
    socket_stream(int socket, clock const& time, stream_limits limits);

    /// Starts an exchange; received bytes are kept.
    void begin(time_point deadline);

    /// Sends what has been written; false if that failed. Reads do so by
    /// themselves.
    bool flush();

    /// Ends an exchange on the answering side: sends what has been written,
    /// also after the message was found too large.
    bool finish(time_point deadline);

    /// Whether received bytes wait that nobody has read.
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
    bool fill();
    bool wait(short events);
    bool give_up(stream_end reason);
    bool within_limits(char const* data, std::size_t size);

    int const socket_;
    clock const& time_;
    stream_limits const limits_;
    time_point deadline_{};
    std::vector<char> buffer_; // received; read up to position_
    std::size_t position_ = 0;
    std::string pending_;         // written, not sent yet
    std::size_t delivered_ = 0;   // bytes read in this exchange
    std::size_t line_length_ = 0; // of the head line being read
    std::size_t head_lines_ = 0;
    bool in_head_ = true;
    stream_end end_ = stream_end::none;
};

} // namespace kumquatramp

#endif
