// Structured log in JSON Lines format.
#ifndef KUMQUATRAMP_TRANSPORT_EVENT_LOG_HPP
#define KUMQUATRAMP_TRANSPORT_EVENT_LOG_HPP

#include <base/result.hpp>
#include <cstdint>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

namespace spdlog
{
class logger;
} // namespace spdlog

namespace kumquatramp
{

enum class log_level : std::uint8_t
{
    debug,
    info,
    warning,
    error,
};

/// One named value of a log record.
struct log_field
{
    std::string_view name;
    std::variant<std::string_view, std::int64_t, double> value;
};

/// Writes one JSON object per line through spdlog. Request bodies and secret
/// keys must not be logged. Thread-safe.
///
///     log.write(log_level::info, "drained", {{"target", "sf-0-osu"}});
class event_log
{
public:
    /// Logs to `file`, or to stderr if the name is empty. Fails with
    /// invalid_configuration if the file cannot be opened.
    static result<std::unique_ptr<event_log>>
    open(std::string const& file, std::string const& host, log_level min_level);
    ~event_log();
    event_log(event_log const&) = delete;
    event_log& operator=(event_log const&) = delete;

    /// Records below the minimum level are dropped before formatting.
    void write(log_level level, std::string_view event,
               std::initializer_list<log_field> fields);

    bool is_enabled(log_level level) const noexcept
    {
        return level >= min_level_;
    }

private:
    event_log(std::shared_ptr<spdlog::logger> logger, std::string const& host,
              log_level min_level);

    std::shared_ptr<spdlog::logger> logger_;
    std::string const host_; // as a quoted JSON string
    log_level const min_level_;
};

} // namespace kumquatramp

#endif
