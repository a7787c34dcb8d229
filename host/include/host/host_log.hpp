// Structured logs: JSON lines to standard output, bounded, never blocking.
#ifndef KUMQUATRAMP_HOST_HOST_LOG_HPP
#define KUMQUATRAMP_HOST_HOST_LOG_HPP

#include <base/clock.hpp>
#include <cstdint>
#include <memory>
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

/// Lines wait in a buffer until the loop flushes them. When standard output
/// takes no more, or a second brings too many lines, lines are dropped and
/// counted; a later line says how many.
class host_log final : public serving::event_sink
{
public:
    /// `fd` is written without blocking; `host` stands in each line.
    host_log(int fd, std::string_view host, clock const& time);
    ~host_log() override;

    void note(std::string_view event, std::string_view subject,
              std::string_view detail) override;

    /// A request's one line.
    void request(std::string_view id, serving::request_summary const& story);

    /// Writes what standard output takes at once.
    void flush();

    std::uint64_t dropped() const;

private:
    bool within_rate();
    /// `fields` follow the ones that each line has.
    void write(std::string_view event, std::string_view fields);

    std::string host_; ///< as JSON
    clock const& time_;
    std::shared_ptr<bounded_sink> sink_;
    std::unique_ptr<spdlog::logger> logger_;
    time_point second_began_{};
    int lines_this_second_ = 0;
};

/// Text as a JSON string, with quotes.
std::string json_text(std::string_view text);

} // namespace kumquatramp::host

#endif
