// Formats log lines, one JSON object per line, and limits their rate.
#include "bounded_sink.hpp"
#include <chrono>
#include <fmt/format.h>
#include <host/host_log.hpp>
#include <serving/request_summary.hpp>
#include <spdlog/logger.h>

namespace kumquatramp::host
{

namespace
{

/// Rate limit of requests and of changes of state each; further lines in a
/// second, as in a burst of refusals, are only counted as dropped.
constexpr int max_lines_per_second = 200;

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

host_log::host_log(int fd, std::string_view host, clock const& time)
    : host_(json_text(host))
    , time_(time)
    , sink_(std::make_shared<bounded_sink>(fd))
    , logger_(std::make_unique<spdlog::logger>("host", sink_))
{
}

host_log::~host_log()
{
    sink_->drain();
}

bool host_log::within_rate(line_rate& rate)
{
    time_point const now = time_.now();
    if (now - rate.second_started >= 1s)
    {
        rate.second_started = now;
        rate.lines = 0;
    }
    if (++rate.lines > max_lines_per_second)
    {
        sink_->count_dropped();
        return false;
    }
    return true;
}

void host_log::write(line_rate& rate, std::string_view event,
                     std::string_view fields)
{
    if (!within_rate(rate))
    {
        return;
    }
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    std::string const line = fmt::format(
        R"({{"unix_ms":{},"up_ms":{},"host":{},"event":"{}",{},"dropped":{}}})",
        duration_cast<milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count(),
        duration_cast<milliseconds>(time_.now().time_since_epoch()).count(),
        host_, event, fields, sink_->dropped());
    if (sink_->has_room(line.size() + 1))
    {
        logger_->info("{}", line);
    }
}

void host_log::note(std::string_view event, std::string_view subject,
                    std::string_view detail)
{
    write(changes_, event,
          fmt::format(R"("subject":{},"detail":{})", json_text(subject),
                      json_text(detail)));
}

void host_log::request(std::string_view id,
                       serving::request_summary const& summary)
{
    constexpr std::string_view events[] = {"request.served", "request.degraded",
                                           "request.failed"};
    write(
        requests_, events[static_cast<int>(summary.kind)],
        fmt::format(
            R"("id":{},"outcome":"{}","route":{},"version":{},)"
            R"("version_age_ms":{},"store_era":{},"store_revision":{},)"
            R"("after_ms":{},)"
            R"("shards":{},"missing":{},"details":{})",
            json_text(id), summary.outcome, json_text(summary.route),
            summary.version,
            std::chrono::duration_cast<std::chrono::milliseconds>(
                summary.version_age)
                .count(),
            store_.era ? std::to_string(*store_.era) : "null", store_.revision,
            std::chrono::duration_cast<std::chrono::milliseconds>(summary.took)
                .count(),
            summary.shards, summary.missing, json_text(summary.details)));
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
