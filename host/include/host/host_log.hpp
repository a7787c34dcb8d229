// Structured log: JSON lines to standard output, bounded and non-blocking.
#ifndef KUMQUATRAMP_HOST_HOST_LOG_HPP
#define KUMQUATRAMP_HOST_HOST_LOG_HPP

#include <base/clock.hpp>
#include <cstdint>
#include <memory>
#include <registry/store_item.hpp>
#include <serving/event_sink.hpp>
#include <string>
#include <string_view>

namespace spdlog
{
class logger;
}

namespace kumquatramp::serving
{
struct request_summary;
}

namespace kumquatramp::host
{

class bounded_sink;

/// Buffers lines until the event loop flushes them. Lines are dropped and
/// counted when the buffer is full or when there are too many in one second;
/// each line carries the count of lines dropped so far.
class host_log final : public serving::event_sink
{
public:
    /// Writes to `fd` without blocking; `host` is a field of each line.
    host_log(int fd, std::string_view host, clock const& time);
    ~host_log() override;

    void note(std::string_view event, std::string_view subject,
              std::string_view detail) override;

    /// Sets the position in the store's history that requests' lines state.
    void set_store_position(registry::store_position position)
    {
        store_ = position;
    }

    /// Logs the outcome of a request in one line.
    void request(std::string_view id, serving::request_summary const& summary);

    /// Writes as much of the buffer as the descriptor accepts without blocking.
    void flush();

    /// Lines dropped since the start.
    std::uint64_t dropped() const;

private:
    /// Lines of one kind in the present second. Each kind has its own limit,
    /// so that a burst of failed requests does not hide changes of state.
    struct line_rate
    {
        time_point second_started{};
        int lines = 0;
    };

    bool within_rate(line_rate& rate);
    /// `fields` are JSON members, added after those common to all lines.
    void write(line_rate& rate, std::string_view event,
               std::string_view fields);

    std::string host_; ///< as a JSON string
    clock const& time_;
    std::shared_ptr<bounded_sink> sink_;
    std::unique_ptr<spdlog::logger> logger_;
    line_rate requests_;
    line_rate changes_;
    registry::store_position store_;
};

/// Returns `text` as a quoted and escaped JSON string.
std::string json_text(std::string_view text);

} // namespace kumquatramp::host

#endif
