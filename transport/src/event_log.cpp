// Structured log in JSON Lines format.
#include <cstdio>
#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>
#include <transport/event_log.hpp>
#include <transport/json_text.hpp>
#include <utility>

namespace kumquatramp
{

namespace
{

constexpr char const* line_pattern =
    R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l",%v})";

spdlog::level::level_enum to_spdlog(log_level level)
{
    switch (level)
    {
    case log_level::debug:
        return spdlog::level::debug;
    case log_level::info:
        return spdlog::level::info;
    case log_level::warning:
        return spdlog::level::warn;
    case log_level::error:
        return spdlog::level::err;
    }
    return spdlog::level::info;
}

std::string value_text(log_field const& field)
{
    if (auto const* const text = std::get_if<std::string_view>(&field.value))
    {
        return quote_json(*text);
    }
    if (auto const* const whole = std::get_if<std::int64_t>(&field.value))
    {
        return std::to_string(*whole);
    }
    char buffer[32];
    std::snprintf(buffer, sizeof buffer, "%.6g", std::get<double>(field.value));
    return buffer;
}

} // namespace

event_log::event_log(std::shared_ptr<spdlog::logger> logger,
                     std::string const& host, log_level min_level)
    : logger_(std::move(logger))
    , host_(quote_json(host))
    , min_level_(min_level)
{
}

event_log::~event_log()
{
    logger_->flush();
}

result<std::unique_ptr<event_log>> event_log::open(std::string const& file,
                                                   std::string const& host,
                                                   log_level min_level)
{
    std::shared_ptr<spdlog::sinks::sink> sink;
    try
    {
        if (file.empty())
        {
            sink = std::make_shared<spdlog::sinks::stderr_sink_mt>();
        }
        else
        {
            sink = std::make_shared<spdlog::sinks::basic_file_sink_mt>(file);
        }
    }
    catch (spdlog::spdlog_ex const& fault)
    {
        return failure(error_kind::invalid_configuration, fault.what());
    }
    auto logger = std::make_shared<spdlog::logger>("kumquatramp", sink);
    logger->set_pattern(line_pattern, spdlog::pattern_time_type::utc);
    logger->set_level(to_spdlog(min_level));
    logger->flush_on(spdlog::level::info);
    return std::unique_ptr<event_log>(
        new event_log(std::move(logger), host, min_level));
}

void event_log::write(log_level level, std::string_view event,
                      std::initializer_list<log_field> fields)
{
    if (!is_enabled(level))
    {
        return;
    }
    auto line = "\"host\":" + host_ + ",\"event\":" + quote_json(event);
    for (auto const& field : fields)
    {
        line += "," + quote_json(field.name) + ":" + value_text(field);
    }
    logger_->log(to_spdlog(level), "{}", line);
}

} // namespace kumquatramp
