// A spdlog sink that buffers lines until the event loop writes them.
#ifndef KUMQUATRAMP_HOST_BOUNDED_SINK_HPP
#define KUMQUATRAMP_HOST_BOUNDED_SINK_HPP

#include <cstdint>
#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>
#include <string>

namespace kumquatramp::host
{

class bounded_sink final
    : public spdlog::sinks::base_sink<spdlog::details::null_mutex>
{
public:
    explicit bounded_sink(int fd);

    /// Writes as much as the descriptor accepts without blocking.
    void drain();

    /// Whether a line of `size` bytes fits into the buffer; counts a dropped
    /// line if not.
    bool has_room(std::size_t size);
    void count_dropped() { ++dropped_; }
    std::uint64_t dropped() const { return dropped_; }

private:
    void sink_it_(spdlog::details::log_msg const& message) override;
    void flush_() override {}

    int fd_;
    std::string buffer_; ///< bounded by max_buffer_bytes
    std::uint64_t dropped_ = 0;
};

} // namespace kumquatramp::host

#endif
