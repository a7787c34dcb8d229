// One JSON object a line.
#include "bounded_sink.hpp"
#include <chrono>
#include <fmt/format.h>
#include <host/host_log.hpp>
#include <spdlog/logger.h>

namespace kumquatramp::host
{

namespace
{

/// Lines a second; a burst of refusals beyond it is only counted.
constexpr int most_lines_a_second = 200;

} // namespace

std::string json_text(std::string_view text)
{
    std::string quoted = "\"";
    for (char const c : text)
    {
        if (c == '"' || c == '\\')
        {
            quoted += '\\';
            quoted += c;
        }
        else if (static_cast<unsigned char>(c) < 0x20 ||
                 static_cast<unsigned char>(c) >= 0x7f)
        {
            fmt::format_to(
                std::back_inserter(quoted), "\\u{:04x}",
                static_cast<unsigned>(static_cast<unsigned char>(c)));
        }
        else
        {
            quoted += c;
        }
    }
    quoted += '"';
    return quoted;
}

host_log::host_log(int fd, std::string host, clock const& time)
    : host_(std::move(host))
    , time_(time)
    , sink_(std::make_shared<bounded_sink>(fd))
    , logger_(std::make_unique<spdlog::logger>("host", sink_))
{
}

host_log::~host_log()
{
    sink_->drain();
}

bool host_log::within_rate()
{
    time_point const now = time_.now();
    if (now - second_began_ >= 1s)
    {
        second_began_ = now;
        lines_this_second_ = 0;
    }
    if (++lines_this_second_ > most_lines_a_second)
    {
        sink_->count_dropped();
        return false;
    }
    return true;
}

void host_log::write(std::string line)
{
    if (sink_->has_room(line.size() + 1))
    {
        logger_->info("{}", line);
    }
}

void host_log::note(std::string_view event, std::string_view subject,
                    std::string_view detail)
{
    if (!within_rate())
    {
        return;
    }
    write(fmt::format(
        R"({{"up_ms":{},"host":"{}","event":"{}","subject":{},"detail":{},"dropped":{}}})",
        std::chrono::duration_cast<std::chrono::milliseconds>(
            time_.now().time_since_epoch())
            .count(),
        host_, event, json_text(subject), json_text(detail), sink_->dropped()));
}

void host_log::request(std::string_view id, bool failed, std::string_view story)
{
    note(failed ? "request.failed" : "request.degraded", id, story);
}

void host_log::flush()
{
    sink_->drain();
}

std::uint64_t host_log::dropped() const
{
    return sink_->dropped();
}

} // namespace kumquatramp::host
